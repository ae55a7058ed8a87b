"""Checks of a settings file, which report all errors at once, or warnings if there are no errors."""

from collections.abc import Callable, Sequence
from pathlib import Path
from typing import NamedTuple

from petrelwood.settings import gateway
from petrelwood.settings.document import File
from petrelwood.settings.errors import SettingsError
from petrelwood.settings.gateway import Gateway
from petrelwood.settings.plausibility import warnings

Decode = Callable[[File], object]
OtherKind = tuple[str, Decode]  # name of a node that identifies a kind of file, and the decoder of that kind


class CheckResult(NamedTuple):
    """The result of checking a file."""

    errors: list[SettingsError]  # without duplicates, sorted by file and line
    warnings: list[SettingsError]
    texts: dict[str, str]  # text of each file that was read, by path


def check(path: str | Path, text: str | None = None, others: Sequence[OtherKind] = ()) -> CheckResult:
    """Return the errors and warnings for a file and the files that it includes.

    Args:
        path: The file.
        text: The text to parse; None: the text is read from the file.
        others: Other kinds of files; a file of none of these kinds is decoded as a gateway's file.
    """
    errors: list[SettingsError] = []
    file = File(path, text, errors)
    decode = _decoder_for(file, others)
    try:
        decoded = decode(file)
    except SettingsError as error:  # errors that can't be collected abort the decoding
        errors.append(error)
        decoded = None
    distinct = _sorted_distinct(errors, list(file.files))
    found = warnings(file, decoded) if isinstance(decoded, Gateway) and not distinct else []
    return CheckResult(distinct, found, file.files)


def _decoder_for(file: File, others: Sequence[OtherKind]) -> Decode:
    names = {node.name for node in file.children}
    if "gateway" not in names:
        for name, decode in others:
            if name in names:
                return decode
    return gateway.decode


def _sorted_distinct(errors: list[SettingsError], files: list[str]) -> list[SettingsError]:
    """Return the errors without duplicates, sorted by the order of `files`, line and column."""
    first: dict[tuple[str, int, int, str], SettingsError] = {}
    for error in errors:
        first.setdefault((error.file, error.line, error.column, error.message), error)
    ranks = {file: rank for rank, file in enumerate(files)}
    return sorted(first.values(), key=lambda error: (ranks.get(error.file, -1), error.line, error.column))
