"""What is wrong with a settings file, and how it is worded."""

import difflib
from collections.abc import Iterable
from os import PathLike

from petrelwood.errors import PetrelwoodError

SIMILARITY = 0.6  # ratio of difflib from which a name is suggested for another


class SettingsError(PetrelwoodError):
    """A settings file can't be used; `str()` is one line, `file:line: message`.

    Attributes:
        file: The path, as the file was named.
        line: Counted from 1; 0 where the file as a whole is meant.
        column: Counted from 1; 0 where it is not known.
        message: What is wrong, without the place.
    """

    def __init__(self, file: str | PathLike[str], line: int, message: str, column: int = 0) -> None:
        super().__init__(f"{file}:{line}: {message}" if line else f"{file}: {message}")
        self.file = str(file)
        self.line = line
        self.message = message
        self.column = column


class InvalidValueError(PetrelwoodError):
    """A value is not what its decoder takes; the node that has it adds the place."""


def similar_name(word: str, names: Iterable[str]) -> str | None:
    """Return the name that is most like a word, or None if none is near."""
    matches = difflib.get_close_matches(word, list(names), 1, SIMILARITY)
    return matches[0] if matches else None


def suggestion(word: object, known: Iterable[object]) -> str:
    """Return the end of a message about an unknown word: the known word nearest to it, or all of them."""
    names = [str(name) for name in known]
    similar = similar_name(str(word), names)
    if similar is not None:
        return f"; did you mean '{similar}'?"
    return f"; known here: {', '.join(names)}" if names else ""
