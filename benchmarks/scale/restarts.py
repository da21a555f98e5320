"""How long processes take to be ready when many start together, on the machine as it is.

    python -m benchmarks.scale.restarts [--count 30] [--workers 200]

Ready is the line that says where the program listens. Nothing is checked: the figures are for the pages.
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
from benchmarks.scale.settings import raw_of

ROOT = Path(__file__).resolve().parents[2]
READY = " start "


def ready_after(folder: Path, text: str, began: float) -> float:
    """Start one process, wait until it is ready, end it; gives the seconds since all were started."""
    folder.mkdir()
    config = folder / "config.json"
    config.write_text(text)
    env = {**os.environ, "RELAY_CONFIG": str(config), "TMPDIR": str(folder)}
    command = [sys.executable, "-m", "elderstall"]
    program = subprocess.Popen(command, cwd=ROOT, env=env, stderr=subprocess.PIPE, text=True)
    assert program.stderr is not None
    try:
        for line in program.stderr:
            if READY in line:
                return time.monotonic() - began
        raise RuntimeError("a process ended before it was ready")
    finally:
        program.kill()
        program.wait()
        program.stderr.close()


@click.command(help=__doc__)
@click.option("--count", default=30, show_default=True)
@click.option("--workers", default=200, show_default=True, help="In the list known at the start.")
def main(count: int, workers: int) -> None:
    """Start them and print the quantiles."""
    raw = {**raw_of(10, 3), "known": json.loads(list_text(workers))}
    with TemporaryDirectory() as folder, ThreadPoolExecutor(count) as pool:
        began = time.monotonic()
        waits = [pool.submit(ready_after, Path(folder, str(n)), json.dumps(raw), began) for n in range(count)]
        seconds = [wait.result() for wait in waits]
    half, most, last = np.quantile(seconds, [0.5, 0.9, 1.0])
    load = os.getloadavg()[0]
    click.echo(
        f"{count} processes: half ready after {half:.2f} s, nine in ten {most:.2f} s, all {last:.2f} s; "
        f"load of the machine {load:.1f} on {os.cpu_count()} cores"
    )


if __name__ == "__main__":
    main()
