"""Settings versions that are announced to all dispatchers, in a folder that all of them read.

    folder/7.kdl     the settings, complete
    folder/7.json    {"begun": wall-clock ns}: written last, so only complete versions are found
    folder/7.off     present once the version was revoked; its text says by whom and why
    folder/position  up to which slot the log of the configuration servers has been read, if they are used

Files are written atomically. Version numbers only grow. The files of versions are made durable before the
position that covers them, so after a crash of the machine no version that counts as read is missing.
"""

import contextlib
import json
import os
import pathlib

from petrelwood.decide.cluster.rollout import Announcement
from petrelwood.store.errors import VersionUnreadableError
from petrelwood.store.files import Files
from petrelwood.store.snapshot import put

POSITION = "position"
MAX_VERSIONS = 16  # versions kept in a folder that is filled from the configuration servers
SETTINGS = ".kdl"  # the suffix of a version's settings
BEGINNING = ".json"  # the suffix of its announcement
REVOCATION = ".off"  # the suffix of its revocation

Folder = str | os.PathLike[str]


def announced(folder: Folder) -> list[Announcement]:
    """Return all announced versions that can be read; a later call may find further ones."""
    folder = pathlib.Path(folder)
    found = []
    for number in _numbers(folder, BEGINNING):
        try:
            if path_of(folder, number).exists():
                rollout_start = int(json.loads((folder / f"{number}{BEGINNING}").read_text())["begun"])
                revoked = (folder / f"{number}{REVOCATION}").exists()
                found.append(Announcement(number, rollout_start, revoked))
        except (OSError, ValueError, KeyError, TypeError, OverflowError):
            continue
    return found


def _numbers(folder: pathlib.Path, ending: str) -> list[int]:
    """Return the numbers of the versions with a file of this kind, sorted; none if listing fails."""
    try:
        names = [pathlib.Path(name) for name in os.listdir(folder)]
    except OSError:
        return []
    return sorted(int(name.stem) for name in names if name.suffix == ending and name.stem.isdigit())


def announce(folder: Folder, text: str, rollout_start: int) -> int:
    """Announce a version that begins at `rollout_start` (wall-clock ns); return its number.

    Raises:
        OSError: the version could not be written, and is not announced.
    """
    folder = pathlib.Path(folder)
    folder.mkdir(parents=True, exist_ok=True)
    number = max(_numbers(folder, SETTINGS), default=0) + 1
    _write(folder, number, text, rollout_start, Files())
    return number


def receive(folder: Folder, number: int, text: str, rollout_start: int, files: Files | None = None) -> None:
    """Announce a version under its number from the configuration servers; remove the oldest versions.

    The files are made durable: if a crash left half of a version, this dispatcher would revoke it for all
    dispatchers as invalid. `rollout_start`: when its roll-out begins, wall-clock ns.

    Raises:
        OSError: the version could not be written; it is not announced, and may be received again.
    """
    folder = pathlib.Path(folder)
    files = files or Files()
    folder.mkdir(parents=True, exist_ok=True)
    _write(folder, number, text, rollout_start, files)
    for old in _numbers(folder, BEGINNING)[:-MAX_VERSIONS]:
        for ending in (BEGINNING, REVOCATION, SETTINGS):
            _remove(folder / f"{old}{ending}", files)


def _write(folder: pathlib.Path, number: int, text: str, rollout_start: int, files: Files) -> None:
    put(path_of(folder, number), text.encode("utf-8"), durable=True, files=files)
    beginning = json.dumps({"begun": rollout_start}).encode()
    put(folder / f"{number}{BEGINNING}", beginning, durable=True, files=files)


def _remove(path: pathlib.Path, files: Files) -> None:
    """Remove a file; one that can't be removed stays until the next version is received."""
    with contextlib.suppress(OSError):
        files.remove(str(path))


def position(folder: Folder) -> int:
    """Return the slot up to which the log has been read; 0 if unknown, so that all is read again."""
    try:
        return int((pathlib.Path(folder) / POSITION).read_text())
    except (OSError, ValueError):
        return 0


def store_position(folder: Folder, slot: int, files: Files | None = None) -> None:
    """Store the slot up to which the log has been read, once all of it is in the folder.

    Raises:
        OSError: the position could not be written.
    """
    folder = pathlib.Path(folder)
    folder.mkdir(parents=True, exist_ok=True)
    put(folder / POSITION, str(slot).encode(), files=files)


def revoke(folder: Folder, number: int, why: str, files: Files | None = None) -> None:
    """Revoke a version for all dispatchers that read the folder.

    The file is made durable: the position stored after it may survive a crash, and then the revocation would
    not be read again.

    Raises:
        OSError: the file could not be written.
    """
    put(pathlib.Path(folder) / f"{number}{REVOCATION}", why.encode("utf-8"), durable=True, files=files)


def path_of(folder: Folder, number: int) -> pathlib.Path:
    """Return the path of a version's settings."""
    return pathlib.Path(folder) / f"{number}{SETTINGS}"


def require_readable(folder: Folder, number: int) -> pathlib.Path:
    """Return the path of a version's settings after reading the file once.

    A version is revoked for its content, never for an I/O error of one folder: hence the separate error.

    Raises:
        VersionUnreadableError: the file could not be read.
    """
    path = path_of(folder, number)
    try:
        path.read_bytes()
    except OSError as error:
        raise VersionUnreadableError(f"{path} can't be read: {error.strerror or error}") from error
    return path
