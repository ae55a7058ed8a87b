"""The layout of the history's folder: Parquet files, one or more a day, and tails of rows.

    day=2026-12-02/rows-FIRST-NUMBER.parquet    rows of one day; FIRST: the time of the first, ns
    tail-NUMBER.log                             rows that are in no Parquet file yet (`store.append_log`)

A tail's payload is "n", a number and a name, or "r" and rows in which a number stands for each name. The
Parquet files made from a tail carry its number, so no row counts twice while both exist.
"""

import datetime
import os
import pathlib
import struct
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

import pyarrow
import pyarrow.parquet

from petrelwood.store import append_log
from petrelwood.store.errors import LogFormatError
from petrelwood.store.files import Files

COLUMNS = (
    ("at", pyarrow.int64()),
    ("function", pyarrow.string()),
    ("customer", pyarrow.string()),
    ("hall", pyarrow.string()),
    ("how", pyarrow.uint8()),
    ("waited_us", pyarrow.uint32()),
    ("took_us", pyarrow.uint32()),
    ("load_us", pyarrow.uint32()),
)
STORED_ROW = struct.Struct("<qHHHBIII")
STORED_NUMBER = struct.Struct("<H")
NAME = b"n"
ROWS = b"r"
END_OF_TIME = 1 << 62  # ns

Folder = str | os.PathLike[str]


class Row(NamedTuple):
    """One execution, with the fields in the order of `COLUMNS` and by their names."""

    at: int  # wall-clock ns
    function: str
    customer: str
    hall: str
    how: int
    waited_us: int
    took_us: int
    load_us: int


class Sealed(NamedTuple):
    """The rows of one day and one tail that have been written to a Parquet file."""

    number: int
    day: str


def day_of(at: int) -> str:
    """Return the UTC day of a wall-clock time in ns, as the folders' names have it."""
    return datetime.datetime.fromtimestamp(at / 1e9, datetime.UTC).strftime("%Y-%m-%d")


def tail_path(folder: pathlib.Path, number: int) -> pathlib.Path:
    """Return the path of a tail."""
    return folder / f"tail-{number:08d}.log"


def tails(folder: pathlib.Path) -> list[tuple[int, pathlib.Path]]:
    """Return the numbers and paths of all tails, sorted by number."""
    return sorted((int(path.stem.split("-")[1]), path) for path in folder.glob("tail-*.log"))


def sealed(folder: Folder) -> set[Sealed]:
    """Return which days of which tails are in Parquet files; a merged file has the highest number merged."""
    paths = pathlib.Path(folder).glob("day=*/rows-*-*.parquet")
    return {Sealed(_number(path), path.parent.name.removeprefix("day=")) for path in paths}


def _number(path: pathlib.Path) -> int:
    return int(path.stem.split("-")[2])


def encode_name(number: int, name: str) -> bytes:
    """Return the payload that assigns a number to a name."""
    return NAME + STORED_NUMBER.pack(number) + name.encode("utf-8")


def encode_rows(rows: Iterable[Row], number_of: Callable[[str], int]) -> bytes:
    """Return the payload of some rows; `number_of` gives the number that stands for a name."""
    return ROWS + b"".join(
        STORED_ROW.pack(
            row.at, number_of(row.function), number_of(row.customer), number_of(row.hall), *row[4:]
        )
        for row in rows
    )


def decode(payloads: Iterable[bytes]) -> tuple[dict[str, int], list[Row]]:
    """Return the numbers of the names, and the rows, of a tail's payloads."""
    numbers: dict[str, int] = {}
    names: dict[int, str] = {}
    rows: list[Row] = []
    for payload in payloads:
        kind = payload[:1]
        body = payload[1:]
        if kind == NAME:
            name = body[STORED_NUMBER.size :].decode("utf-8")
            numbers[name] = STORED_NUMBER.unpack_from(body)[0]
            names[numbers[name]] = name
        elif kind == ROWS:
            for at, function, customer, hall, *rest in STORED_ROW.iter_unpack(body):
                rows.append(Row(at, names[function], names[customer], names[hall], *rest))
    return numbers, rows


def table_of(rows: Sequence[Row]) -> pyarrow.Table:
    """Return rows as a table."""
    columns = list(zip(*rows, strict=True)) or [()] * len(COLUMNS)
    return pyarrow.table(
        {name: pyarrow.array(column, kind) for (name, kind), column in zip(COLUMNS, columns, strict=True)}
    )


def write_day(folder: pathlib.Path, rows: Iterable[Row], number: int, files: Files) -> None:
    """Write the rows of one day as a Parquet file: to a temporary file, then renamed.

    Raises:
        OSError: the file could not be written; then the target does not exist.
    """
    in_order = sorted(rows)
    first = in_order[0].at
    target = folder / f"day={day_of(first)}" / f"rows-{first:020d}-{number}.parquet"
    target.parent.mkdir(exist_ok=True)
    _write_table(table_of(in_order), target.with_suffix(".part"), target, files)


def _write_table(table: pyarrow.Table, part: pathlib.Path, target: pathlib.Path, files: Files) -> None:
    pyarrow.parquet.write_table(table, part, compression="zstd")
    files.replace(str(part), str(target))


def retain(folder: pathlib.Path, most_days: int, most_bytes: int) -> None:
    """Remove the oldest days until both limits are met; the newest day always stays."""
    days = sorted(folder.glob("day=*"))
    sizes = {day: sum(path.stat().st_size for path in day.iterdir()) for day in days}
    while len(days) > 1 and (len(days) > most_days or sum(sizes[day] for day in days) > most_bytes):
        oldest = days.pop(0)
        for path in oldest.iterdir():
            path.unlink()
        oldest.rmdir()


def compact(folder: pathlib.Path, files: Files) -> tuple[int, int]:
    """Merge each day's Parquet files into one; return how many there were, and how many are left."""
    before = 0
    after = 0
    for day in sorted(folder.glob("day=*")):
        paths = sorted(day.glob("rows-*.parquet"))
        before += len(paths)
        after += min(1, len(paths))
        if len(paths) > 1:
            _compact_day(day, paths, files)
    return before, after


def _compact_day(day: pathlib.Path, paths: list[pathlib.Path], files: Files) -> None:
    table = pyarrow.concat_tables([pyarrow.parquet.read_table(path) for path in paths]).sort_by("at")
    highest = max(_number(path) for path in paths)
    target = day / f"rows-{table['at'][0].as_py():020d}-{highest}.parquet"
    _write_table(table, day / "whole.part", target, files)
    for path in paths:
        if path != target:
            files.remove(str(path))


def read(folder: Folder, since: int = 0, until: int = END_OF_TIME) -> pyarrow.Table:
    """Return all rows with `since <= at < until`, those in tails included, sorted by time."""
    folder = pathlib.Path(folder)
    tables = [
        pyarrow.parquet.read_table(path, filters=[("at", ">=", since), ("at", "<", until)])
        for path in sorted(folder.glob("day=*/rows-*.parquet"))
    ]
    done = sealed(folder)
    for number, path in tails(folder):
        _, rows = decode(append_log.scan(path.read_bytes()).payloads)
        unsealed = [row for row in rows if Sealed(number, day_of(row.at)) not in done]
        tables.append(table_of([row for row in unsealed if since <= row.at < until]))
    if not tables:
        return table_of([])
    return pyarrow.concat_tables(tables).sort_by("at")


def verify(folder: Folder) -> list[str]:
    """Return the faults of a folder, one line each; an empty list if there are none."""
    folder = pathlib.Path(folder)
    faults = []
    for path in sorted(folder.glob("day=*/rows-*.parquet")):
        try:
            table = pyarrow.parquet.read_table(path)
        except (OSError, pyarrow.ArrowException) as error:
            faults.append(f"{path}: {str(error).splitlines()[0]}")
            continue
        ends = (table["at"][0].as_py(), table["at"][-1].as_py()) if len(table) else ()
        days = {day_of(at) for at in ends}
        if days - {path.parent.name.removeprefix("day=")}:
            faults.append(f"{path}: holds rows of {', '.join(sorted(days))}")
    for _, path in tails(folder):
        try:
            found = append_log.scan(path.read_bytes())
        except LogFormatError as error:
            faults.append(f"{path}: {error}")
            continue
        if found.damage:
            faults.append(f"{path}: {found.damage}, {path.stat().st_size - found.valid_size} bytes after it")
    return faults
