"""Atomic writes of the tools' files: a file has either its previous content or the new one.

The data is written to a temporary file in the same directory, synced, and renamed over the target; then the
directory is synced. After a failure before the rename the previous file is unchanged and the temporary one
removed. If the sync of the directory fails, OSError is raised although the new content is in place. A process
that is killed meanwhile may leave a hidden ``.tmp`` file. The dispatcher itself stores nothing on disk and
does not use this module.
"""

from __future__ import annotations

import contextlib
import errno
import os
from pathlib import Path

FILE_MODE = 0o666  # reduced by the process's umask


def write_text_atomically(path: str | Path, text: str) -> None:
    """Write a text as UTF-8; see ``write_bytes_atomically``."""
    write_bytes_atomically(path, text.encode("utf-8"))


def write_bytes_atomically(path: str | Path, data: bytes) -> None:
    """Replace or create a file; raises OSError naming the target file.

    A target that is not a regular file, such as a terminal or a pipe, is written to directly, as it has no
    content to preserve.
    """
    target = Path(os.path.realpath(path))  # a symbolic link is kept
    try:
        if target.exists() and not target.is_file():
            target.write_bytes(data)
        else:
            replace_file(target, data)
    except OSError as error:
        raise OSError(error.errno, error.strerror or str(error), str(path)) from error


def replace_file(target: Path, data: bytes) -> None:
    """Write a temporary file beside the target and rename it over the target."""
    temporary = target.with_name(f".{target.name}.{os.getpid()}.tmp")
    try:
        write_synced(temporary, data)
        if target.exists():
            temporary.chmod(target.stat().st_mode & 0o7777)
        temporary.replace(target)
    except BaseException:  # including KeyboardInterrupt
        with contextlib.suppress(OSError):
            temporary.unlink()
        raise
    sync_directory(target.parent)


def write_synced(path: Path, data: bytes) -> None:
    """Write a file and sync its content to the disk."""
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, FILE_MODE)
    try:
        remaining = memoryview(data)
        while remaining:
            remaining = remaining[os.write(descriptor, remaining) :]
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def sync_directory(directory: Path) -> None:
    """Sync a directory's entries to the disk, unless the file system does not support it."""
    descriptor = os.open(directory, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(descriptor)
    except OSError as error:
        if error.errno not in (errno.EINVAL, errno.ENOTSUP):
            raise
    finally:
        os.close(descriptor)
