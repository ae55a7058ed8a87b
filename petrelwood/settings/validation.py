"""All that is wrong with a settings file, at once: errors, and warnings where there are none."""

from collections.abc import Callable, Sequence
from pathlib import Path
from typing import NamedTuple

from petrelwood.settings import gateway
from petrelwood.settings.document import File
from petrelwood.settings.errors import SettingsError
from petrelwood.settings.gateway import Gateway
from petrelwood.settings.plausibility import warnings

Decode = Callable[[File], object]
OtherKind = tuple[str, Decode]  # a node that files of a kind have, and what decodes these files


class CheckResult(NamedTuple):
    """What a check of a file has found."""

    errors: list[SettingsError]  # each once, in the order of files and lines
    warnings: list[SettingsError]
    texts: dict[str, str]  # of all files that were read, by path


def check(path: str | Path, text: str | None = None, others: Sequence[OtherKind] = ()) -> CheckResult:
    """Return what is wrong with a file and all that it includes.

    Args:
        path: The file.
        text: What it says, if that is not read from it.
        others: Kinds of files that are no gateway's; a file of none of them is taken for a gateway's.
    """
    errors: list[SettingsError] = []
    file = File(path, text, errors)
    decode = _decoder_for(file, others)
    try:
        decoded = decode(file)
    except SettingsError as error:  # what can't be collected ends the decoding
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
    """Return each error once, in the order of `files`, lines and columns."""
    first: dict[tuple[str, int, int, str], SettingsError] = {}
    for error in errors:
        first.setdefault((error.file, error.line, error.column, error.message), error)
    ranks = {file: rank for rank, file in enumerate(files)}
    return sorted(first.values(), key=lambda error: (ranks.get(error.file, -1), error.line, error.column))
