"""A trial in a process of its own: a real dispatcher on sockets, and the workers and list around it."""

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
from elderstall.config import config_of
from elderstall.simulation.scenario import Fault
from elderstall.simulation.serve import Stage
from tests.simulation_scenarios import scenario

JOBS = 60


def ask(port: int, number: int) -> int:
    """Send one job and give the status of its answer; connections of clients are not kept."""
    name = ("fetch", "purchase")[number % 2]
    there = http.client.HTTPConnection("127.0.0.1", port, timeout=20)
    there.request(
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
    answer = there.getresponse()
    body = answer.read().decode()
    there.close()
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
    stage = Stage(scenario(*faults), loop, time.monotonic, time.time() * 1000, [("127.0.0.1", 1)], 3)
    stage.begin()
    app = App(config_of({**stage.platform(stage.callers[0]), "listen": "127.0.0.1:0"}, {}), loop)
    statuses: list[int] = []

    def begin() -> None:
        app.start()
        port = app.port.getHost().port
        stage.callers[0].port = port
        asked = [deferToThread(ask, port, n) for n in range(JOBS)]
        gatherResults(asked, consumeErrors=True).addCallback(statuses.extend).addErrback(
            lambda failure: print(failure, file=sys.stderr)
        ).addBoth(lambda _: settle())

    def settle() -> None:
        """Wait until no worker has anything left: whatever would run twice has done so."""
        if any(m.model.held or m.model.paused for m in stage.worker_hosts.values()) or any(
            c.waiting for c in stage.callers
        ):
            loop.callLater(0.05, settle)
        else:
            loop.stop()

    loop.callWhenRunning(begin)
    loop.run()
    stage.close()
    print(json.dumps({**stage.figures(), "statuses": statuses}))


if __name__ == "__main__":
    main(sys.argv[1])
