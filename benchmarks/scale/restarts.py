"""Time until processes are ready when many start at once, on the current machine.

    python -m benchmarks.scale.restarts [--count 30] [--workers 200]

A process is ready when it logs the address that it listens on. The command only reports; it checks no limit.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from tempfile import TemporaryDirectory

import click
import numpy as np

from benchmarks.scale.fleets import list_text
from benchmarks.scale.settings import config_object

ROOT = Path(__file__).resolve().parents[2]
READY_LOG_CODE = " start "


def seconds_until_ready(folder: Path, config_text: str, started_at: float) -> float:
    """Start one process, wait until it is ready and kill it; return the seconds since ``started_at``."""
    folder.mkdir()
    config = folder / "config.json"
    config.write_text(config_text)
    env = {**os.environ, "RELAY_CONFIG": str(config), "TMPDIR": str(folder)}
    command = [sys.executable, "-m", "elderstall"]
    program = subprocess.Popen(command, cwd=ROOT, env=env, stderr=subprocess.PIPE, text=True)
    assert program.stderr is not None
    try:
        for line in program.stderr:
            if READY_LOG_CODE in line:
                return time.monotonic() - started_at
        raise RuntimeError("a process ended before it was ready; the measurement stops")
    finally:
        program.kill()
        program.wait()
        program.stderr.close()


@click.command(help=__doc__)
@click.option("--count", default=30, show_default=True)
@click.option("--workers", default=200, show_default=True, help="Workers in the list of the configuration.")
def main(count: int, workers: int) -> None:
    """Start the processes and print quantiles of the time until they are ready."""
    config = {**config_object(10, 3), "known": json.loads(list_text(workers))}
    with TemporaryDirectory() as folder, ThreadPoolExecutor(count) as pool:
        started_at = time.monotonic()
        starts = [
            pool.submit(seconds_until_ready, Path(folder, str(n)), json.dumps(config), started_at)
            for n in range(count)
        ]
        seconds = [start.result() for start in starts]
    median, p90, maximum = np.quantile(seconds, [0.5, 0.9, 1.0])
    load = os.getloadavg()[0]
    click.echo(
        f"{count} processes: half ready after {median:.2f} s, 90 % after {p90:.2f} s, "
        f"all after {maximum:.2f} s; load average {load:.1f} on {os.cpu_count()} cores"
    )


if __name__ == "__main__":
    main()
