"""Versions of settings that are announced to all dispatchers: a folder that all of them read.

    folder/7.kdl     the settings, whole
    folder/7.json    {"begun": wall-clock ns}: written last, so a version is seen only once it is all there
    folder/7.off     somebody has called it off; what is in it says who and why
    folder/position  how far the log of the configuration servers has been read, where versions come from them

Files are written beside and renamed. Numbers only grow. What outlives the machine is durable before the
position that says so: after a fall of the machine nothing that was read is missing.
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
MOST_VERSIONS = 16  # that stay in a folder that the configuration servers fill
SETTINGS = ".kdl"  # the endings of a version's files
BEGINNING = ".json"
CALL_OFF = ".off"

Folder = str | os.PathLike[str]


def announced(folder: Folder) -> list[Announcement]:
    """All announced versions. What can't be read is not announced yet; a later look may find it."""
    folder = pathlib.Path(folder)
    found = []
    for number in _numbers(folder, BEGINNING):
        try:
            if path_of(folder, number).exists():
                rollout_start = int(json.loads((folder / f"{number}{BEGINNING}").read_text())["begun"])
                called_off = (folder / f"{number}{CALL_OFF}").exists()
                found.append(Announcement(number, rollout_start, called_off))
        except (OSError, ValueError, KeyError, TypeError):
            continue
    return found


def _numbers(folder: pathlib.Path, ending: str) -> list[int]:
    """The numbers of which a file of this kind stands there, sorted; none if the folder can't be listed."""
    try:
        names = [pathlib.Path(name) for name in os.listdir(folder)]
    except OSError:
        return []
    return sorted(int(name.stem) for name in names if name.suffix == ending and name.stem.isdigit())


def announce(folder: Folder, text: str, rollout_start: int) -> int:
    """Announces a version; returns its number. Raises `OSError`; then it is not announced."""
    folder = pathlib.Path(folder)
    folder.mkdir(parents=True, exist_ok=True)
    number = max(_numbers(folder, SETTINGS), default=0) + 1
    _write(folder, number, text, rollout_start, Files())
    return number


def receive(folder: Folder, number: int, text: str, rollout_start: int, files: Files | None = None) -> None:
    """Announces a version that has its number from the configuration servers, and forgets the oldest ones.

    It outlives the machine: half of a version would be called off for everyone as one that can't be read.
    Raises `OSError`; then it is not announced, and may be received again.
    """
    folder = pathlib.Path(folder)
    files = files or Files()
    folder.mkdir(parents=True, exist_ok=True)
    _write(folder, number, text, rollout_start, files)
    for old in _numbers(folder, BEGINNING)[:-MOST_VERSIONS]:
        for ending in (BEGINNING, CALL_OFF, SETTINGS):
            _remove(folder / f"{old}{ending}", files)


def _write(folder: pathlib.Path, number: int, text: str, rollout_start: int, files: Files) -> None:
    put(path_of(folder, number), text.encode("utf-8"), durable=True, files=files)
    beginning = json.dumps({"begun": rollout_start}).encode()
    put(folder / f"{number}{BEGINNING}", beginning, durable=True, files=files)


def _remove(path: pathlib.Path, files: Files) -> None:
    """What can't be removed now is removed with a later version: it only takes room."""
    with contextlib.suppress(OSError):
        files.remove(str(path))


def position(folder: Folder) -> int:
    """How far the log has been read; 0 where that is not known, and all is read again."""
    try:
        return int((pathlib.Path(folder) / POSITION).read_text())
    except (OSError, ValueError):
        return 0


def note_position(folder: Folder, slot: int, files: Files | None = None) -> None:
    """Notes how far the log has been read, once all of it is in the folder. Raises `OSError`."""
    folder = pathlib.Path(folder)
    folder.mkdir(parents=True, exist_ok=True)
    put(folder / POSITION, str(slot).encode(), files=files)


def call_off(folder: Folder, number: int, why: str, files: Files | None = None) -> None:
    """Calls a version off for all that read the folder. Raises `OSError`.

    It outlives the machine: the position that follows it may, and then nobody would ask for it again.
    """
    put(pathlib.Path(folder) / f"{number}{CALL_OFF}", why.encode("utf-8"), durable=True, files=files)


def path_of(folder: Folder, number: int) -> pathlib.Path:
    """Where the settings of a version stand."""
    return pathlib.Path(folder) / f"{number}{SETTINGS}"


def require_readable(folder: Folder, number: int) -> pathlib.Path:
    """Where the settings of a version stand, once the folder gives them.

    Raises `VersionUnreadableError` where it does not: a version is called off for what it says, never for the
    fault of one folder.
    """
    path = path_of(folder, number)
    try:
        path.read_bytes()
    except OSError as error:
        raise VersionUnreadableError(f"{path} can't be read: {error.strerror or error}") from error
    return path
