"""The tools' files are written atomically, even if a system call fails or the writer is interrupted."""

from __future__ import annotations

import errno
import json
import os
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest

from elderstall.atomic_file import write_bytes_atomically, write_text_atomically
from elderstall.cli import group, output
from elderstall.simulation.serve import SimulatedPlatform
from tests.test_simulation_script import TEXT

PREVIOUS, NEW = "former\n", "new " * 1_000
STEPS = ("open", "write", "fsync", "replace")  # each precedes or is the rename


def make_fail(monkeypatch: pytest.MonkeyPatch, step: str, error: BaseException, after: int = 0) -> None:
    """Make a system call fail after its first ``after`` calls."""
    call: Callable[..., Any] = getattr(os, step)
    calls: list[Any] = []

    def fail(*args: Any, **named: Any) -> Any:
        calls.append(args)
        if len(calls) > after:
            raise error
        return call(*args, **named)

    monkeypatch.setattr(os, step, fail)


def open_descriptors() -> int:
    return len(os.listdir("/proc/self/fd"))


@pytest.mark.parametrize("number", [errno.ENOSPC, errno.EIO, errno.EDQUOT, errno.EROFS])
@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("former", [PREVIOUS, None])
def test_a_failed_step_keeps_the_previous_file_and_leaves_no_other(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, step: str, number: int, former: str | None
) -> None:
    path = tmp_path / "report.html"
    if former is not None:
        path.write_text(former)
    before = open_descriptors()
    with monkeypatch.context() as patch:
        make_fail(patch, step, OSError(number, os.strerror(number)))
        with pytest.raises(OSError, match=r"report\.html") as raised:
            write_text_atomically(path, NEW)
    assert (raised.value.errno, raised.value.filename) == (number, str(path))
    assert open_descriptors() == before
    assert os.listdir(tmp_path) == ([path.name] if former is not None else [])
    if former is not None:
        assert path.read_text() == former
    write_text_atomically(path, NEW)  # once the system call works again
    assert path.read_text() == NEW


@pytest.mark.parametrize("step", STEPS)
def test_an_interrupt_before_the_rename_keeps_the_previous_file(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, step: str
) -> None:
    path = tmp_path / "figures.json"
    path.write_text(PREVIOUS)
    make_fail(monkeypatch, step, KeyboardInterrupt())
    with pytest.raises(KeyboardInterrupt):
        write_text_atomically(path, NEW)
    assert (os.listdir(tmp_path), path.read_text()) == ([path.name], PREVIOUS)


KILLED = """
import os, signal, sys
from elderstall import atomic_file
atomic_file.os.{step} = lambda *args, **named: os.kill(os.getpid(), signal.SIGKILL)
atomic_file.write_text_atomically(sys.argv[1], "new " * 1_000)
"""


@pytest.mark.parametrize("step", ["fsync", "replace"])
def test_a_process_killed_before_the_rename_leaves_no_partial_file(tmp_path: Path, step: str) -> None:
    path = tmp_path / "figures.json"
    path.write_text(PREVIOUS)
    done = subprocess.run([sys.executable, "-c", KILLED.format(step=step), str(path)], check=False)
    assert done.returncode == -9
    assert path.read_text() == PREVIOUS
    assert [name for name in os.listdir(tmp_path) if not name.startswith(".")] == [path.name]


def test_short_writes_are_continued(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    write = os.write
    monkeypatch.setattr(os, "write", lambda fd, data: write(fd, data[:7]))
    write_bytes_atomically(tmp_path / "a", b"0123456789" * 3)
    assert (tmp_path / "a").read_bytes() == b"0123456789" * 3


def test_content_is_synced_before_the_rename_and_the_folder_after_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    steps: list[str] = []
    fsync = os.fsync
    replace = os.replace

    def record_fsync(fd: int) -> None:
        steps.append("fsync folder" if os.path.isdir(f"/proc/self/fd/{fd}") else "fsync file")
        fsync(fd)

    def record_replace(old: Path, new: Path) -> None:
        steps.append("replace")
        replace(old, new)

    monkeypatch.setattr(os, "fsync", record_fsync)
    monkeypatch.setattr(os, "replace", record_replace)
    write_text_atomically(tmp_path / "a", NEW)
    assert steps == ["fsync file", "replace", "fsync folder"]


@pytest.mark.parametrize(
    "number,fails", [(errno.EIO, True), (errno.ENOSPC, True), (errno.EINVAL, False), (errno.ENOTSUP, False)]
)
def test_a_failed_sync_of_the_directory_is_raised_and_the_file_is_complete(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, number: int, fails: bool
) -> None:
    path = tmp_path / "a"
    make_fail(monkeypatch, "fsync", OSError(number, os.strerror(number)), after=1)
    if fails:
        with pytest.raises(OSError, match=os.strerror(number)):
            write_text_atomically(path, NEW)
    else:
        write_text_atomically(path, NEW)
    assert (os.listdir(tmp_path), path.read_text()) == (["a"], NEW)


def test_modes_links_and_devices_are_kept(tmp_path: Path) -> None:
    path = tmp_path / "a"
    link = tmp_path / "link"
    path.write_text(PREVIOUS)
    path.chmod(0o640)
    link.symlink_to(path)
    write_text_atomically(link, NEW)
    assert link.is_symlink()
    assert (path.read_text(), path.stat().st_mode & 0o777) == (NEW, 0o640)
    write_text_atomically("/dev/null", NEW)
    assert not Path("/dev/null").is_file()


def commands(folder: Path) -> dict[str, list[str]]:
    scenario = folder / "night.conf"
    scenario.write_text(TEXT)
    return {
        "figures": ["simulate", "run", str(scenario), "--json", str(folder / "out")],
        "report": ["simulate", "run", str(scenario), "--report", str(folder / "out")],
        "comparison": ["simulate", "compare", str(scenario), str(scenario), "--seeds", "1",
                       "--processes", "1", "--json", str(folder / "out")],
    }  # fmt: skip


@pytest.mark.parametrize("command", ["figures", "report", "comparison"])
@pytest.mark.parametrize("step", ["fsync", "replace"])
def test_a_command_that_cannot_write_its_file_prints_an_error_and_fails(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    capfd: pytest.CaptureFixture[str],
    step: str,
    command: str,
) -> None:
    words = commands(tmp_path)[command]
    make_fail(monkeypatch, step, OSError(errno.ENOSPC, os.strerror(errno.ENOSPC)))
    assert group.main(words) == output.EXIT_FAILED
    assert f"elderstall: {tmp_path / 'out'}: No space left on device" in capfd.readouterr().err
    assert os.listdir(tmp_path) == ["night.conf"]


def test_a_configuration_that_cannot_be_written_is_an_error_and_the_previous_one_is_kept(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    platform: Any = SimpleNamespace(
        dispatcher_clients=[SimpleNamespace(rank=0)], dispatcher_config=lambda dispatcher: {"name": NEW}
    )
    (tmp_path / "n1.json").write_text(PREVIOUS)
    write = os.write
    with monkeypatch.context() as patch:
        patch.setattr(os, "write", lambda fd, data: write(fd, data[:100]))  # so it fails half-way
        make_fail(patch, "write", OSError(errno.EIO, os.strerror(errno.EIO)), after=1)
        with pytest.raises(OSError, match=r"n1\.json"):
            SimulatedPlatform.write(platform, tmp_path)
    assert (os.listdir(tmp_path), (tmp_path / "n1.json").read_text()) == (["n1.json"], PREVIOUS)
    assert [json.loads(path.read_text()) for path in SimulatedPlatform.write(platform, tmp_path)] == [
        {"name": NEW}
    ]


def test_the_dispatcher_does_not_import_the_module() -> None:
    code = "import sys, elderstall.cli.run; sys.exit('elderstall.atomic_file' in sys.modules)"
    assert subprocess.run([sys.executable, "-c", code], check=False).returncode == 0
