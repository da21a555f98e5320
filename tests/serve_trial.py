"""A trial in its own process: a real dispatcher on sockets with simulated workers and list around it."""

from __future__ import annotations

import http.client
import json
import sys
import time
from typing import Any

from twisted.internet import reactor
from twisted.internet.defer import gatherResults
from twisted.internet.threads import deferToThread

from elderstall.app import App
from elderstall.config import parse_config
from elderstall.simulation.scenario import Fault
from elderstall.simulation.serve import SimulatedPlatform
from tests.simulation_scenarios import scenario

JOBS = 60


def send_job(port: int, number: int) -> int:
    """Send one job over a new connection, and return the status of its answer."""
    name = ("fetch", "purchase")[number % 2]
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=20)
    connection.request(
        "POST",
        f"/{name}?obj=7",
        b"card",
        {
            "X-Call-Id": f"job-{number}",
            "X-Call-Class": name,
            "X-Caller": "north",
            "X-Budget-Ms": "3000",
            "X-Call-Cost": "60000",
        },
    )
    answer = connection.getresponse()
    body = answer.read().decode()
    connection.close()
    if answer.status == 200 and body.split(" ")[:2] != [name, f"job-{number}"]:
        raise AssertionError(f"the answer to job {number} is {body!r}")
    return answer.status


def main(fault: str) -> None:
    loop: Any = reactor
    faults = {
        "none": [],
        "restart": [Fault("restart", 300.0, 400.0, workers=("w-1", "w-2"))],
        "pause": [Fault("pause", 300.0, 700.0, workers=("w-1", "w-3"))],
        "drain": [Fault("drain", 300.0, 900.0, workers=("w-1", "w-2", "w-3"))],
        "vanish": [Fault("vanish", 300.0, 900.0, workers=("w-1",))],
    }[fault]
    platform = SimulatedPlatform(
        scenario(*faults), loop, time.monotonic, time.time() * 1000, [("127.0.0.1", 1)], 3
    )
    platform.begin()
    app = App(
        parse_config(
            {**platform.dispatcher_config(platform.dispatcher_clients[0]), "listen": "127.0.0.1:0"}, {}
        ),
        loop,
    )
    statuses: list[int] = []

    def begin() -> None:
        app.start()
        port = app.port.getHost().port
        platform.dispatcher_clients[0].port = port
        answers = [deferToThread(send_job, port, number) for number in range(JOBS)]
        gatherResults(answers, consumeErrors=True).addCallback(statuses.extend).addErrback(
            lambda failure: print(failure, file=sys.stderr)
        ).addBoth(lambda _: settle())

    def settle() -> None:
        """Wait until no worker has a task left, so that any duplicate execution has been counted."""
        if any(host.model.held or host.model.paused for host in platform.worker_hosts.values()) or any(
            client.waiting for client in platform.dispatcher_clients
        ):
            loop.callLater(0.05, settle)
        else:
            loop.stop()

    loop.callWhenRunning(begin)
    loop.run()
    platform.close()
    print(json.dumps({**platform.figures(), "statuses": statuses}))


if __name__ == "__main__":
    main(sys.argv[1])
