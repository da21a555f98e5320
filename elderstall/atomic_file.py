"""Files that are whole or not there: what tools write is either the former content or the new one.

The text goes to a temporary file in the same folder, is synced, and takes the place by a rename. Whatever
fails on the way leaves the former file as it was and no temporary one; a process that is killed in between
may leave a hidden ``.tmp`` file. No part of the dispatcher itself, which keeps nothing on a disk.
"""

from __future__ import annotations

import contextlib
import errno
import os
from pathlib import Path

FILE_MODE = 0o666  # less the process's mask


def write_text_atomically(path: str | Path, text: str) -> None:
    """Write a text in UTF-8; see ``write_bytes_atomically``."""
    write_bytes_atomically(path, text.encode("utf-8"))


def write_bytes_atomically(path: str | Path, data: bytes) -> None:
    """Replace a file, or make it; an OSError names the file that was to be written.

    What is no regular file, such as a terminal or a pipe, has no content to keep and is written to directly.
    """
    target = Path(os.path.realpath(path))  # a link stays one
    try:
        if target.exists() and not target.is_file():
            target.write_bytes(data)
        else:
            replace_file(target, data)
    except OSError as error:
        raise OSError(error.errno, error.strerror or str(error), str(path)) from error


def replace_file(target: Path, data: bytes) -> None:
    """Write a temporary file beside the target, and rename it."""
    temporary = target.with_name(f".{target.name}.{os.getpid()}.tmp")
    try:
        write_synced(temporary, data)
        if target.exists():
            temporary.chmod(target.stat().st_mode & 0o7777)
        temporary.replace(target)
    except BaseException:  # also where the command is interrupted
        with contextlib.suppress(OSError):
            temporary.unlink()
        raise
    sync_directory(target.parent)


def write_synced(path: Path, data: bytes) -> None:
    """Write a file, and return once its content is on the disk."""
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, FILE_MODE)
    try:
        remaining = memoryview(data)
        while remaining:
            remaining = remaining[os.write(descriptor, remaining) :]
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def sync_directory(directory: Path) -> None:
    """Have the new name on the disk too; some file systems know no sync of a folder."""
    descriptor = os.open(directory, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(descriptor)
    except OSError as error:
        if error.errno not in (errno.EINVAL, errno.ENOTSUP):
            raise
    finally:
        os.close(descriptor)
