"""Errors in settings files, and suggestions for misspelt names."""

import difflib
from collections.abc import Iterable
from os import PathLike

from petrelwood.errors import PetrelwoodError

SIMILARITY = 0.6  # minimum difflib ratio of a name that is suggested for an unknown one


class SettingsError(PetrelwoodError):
    """A settings file is invalid; `str()` is one line, `file:line: message`.

    Attributes:
        file: The path, as the file was named.
        line: Counted from 1; 0 if the error concerns the whole file.
        column: Counted from 1; 0 if it is unknown.
        message: The error without its position.
    """

    def __init__(self, file: str | PathLike[str], line: int, message: str, column: int = 0) -> None:
        super().__init__(f"{file}:{line}: {message}" if line else f"{file}: {message}")
        self.file = str(file)
        self.line = line
        self.message = message
        self.column = column


class InvalidValueError(PetrelwoodError):
    """A decoder rejected a value; the node that contains the value adds the position."""


def similar_name(word: str, names: Iterable[str]) -> str | None:
    """Return the name that is most similar to a word, or None if no name is similar enough."""
    matches = difflib.get_close_matches(word, list(names), 1, SIMILARITY)
    return matches[0] if matches else None


def suggestion(word: object, known: Iterable[object]) -> str:
    """Return the end of a message about an unknown word: the most similar known word, or all of them."""
    names = [str(name) for name in known]
    similar = similar_name(str(word), names)
    if similar is not None:
        return f"; did you mean '{similar}'?"
    return f"; known here: {', '.join(names)}" if names else ""
