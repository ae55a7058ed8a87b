"""Versions of settings that are announced to all dispatchers: a folder that all of them read.

    folder/7.kdl     the settings, whole
    folder/7.json    {"begun": wall-clock ns}: written last, so a version is seen only once it is all there
    folder/7.off     somebody has called it off; what is in it says who and why
    folder/position  how far the log of the configuration servers has been read, where versions come from them

Files are written beside and renamed. Numbers only grow."""

import json
import pathlib

from petrelwood.decide.cluster.rollout import Announcement
from petrelwood.store.snapshot import put

POSITION = "position"
KEPT = 16  # versions that stay in a folder that the configuration servers fill


def announced(folder):
    """All announced versions; what can't be read is not one yet."""
    found, folder = [], pathlib.Path(folder)
    for path in sorted(folder.glob("*.json")):
        try:
            if path.stem.isdigit() and (folder / f"{path.stem}.kdl").exists():
                found.append(
                    Announcement(
                        int(path.stem),
                        int(json.loads(path.read_text())["begun"]),
                        (folder / f"{path.stem}.off").exists(),
                    )
                )
        except (OSError, ValueError, KeyError, TypeError):
            continue
    return found


def announce(folder, text, begun):
    """Puts a version there; its number."""
    folder = pathlib.Path(folder)
    folder.mkdir(parents=True, exist_ok=True)
    number = max([int(p.stem) for p in folder.glob("*.kdl") if p.stem.isdigit()], default=0) + 1
    put(folder / f"{number}.kdl", text.encode("utf-8"))
    put(folder / f"{number}.json", json.dumps({"begun": begun}).encode())
    return number


def receive(folder, number, text, begun):
    """Puts a version there that has its number from the configuration servers. It outlives the machine: half
    of a version would be called off for everyone as one that can't be read."""
    folder = pathlib.Path(folder)
    folder.mkdir(parents=True, exist_ok=True)
    put(folder / f"{number}.kdl", text.encode("utf-8"), durable=True)
    put(folder / f"{number}.json", json.dumps({"begun": begun}).encode(), durable=True)
    numbers = sorted(int(path.stem) for path in folder.glob("*.json") if path.stem.isdigit())
    for old in numbers[:-KEPT]:
        for ending in ("json", "off", "kdl"):
            (folder / f"{old}.{ending}").unlink(missing_ok=True)


def position(folder):
    """How far the log has been read; 0 where that is not known, and all is read again."""
    try:
        return int((pathlib.Path(folder) / POSITION).read_text())
    except (OSError, ValueError):
        return 0


def note_position(folder, slot):
    """Notes how far the log has been read, once all of it is in the folder."""
    folder = pathlib.Path(folder)
    folder.mkdir(parents=True, exist_ok=True)
    put(folder / POSITION, str(slot).encode())


def call_off(folder, number, why):
    put(pathlib.Path(folder) / f"{number}.off", why.encode("utf-8"))


def path_of(folder, number):
    return pathlib.Path(folder) / f"{number}.kdl"
