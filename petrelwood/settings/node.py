"""A node of a settings file with its place: it hands out decoded values and reports what is wrong."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from typing import Final, NamedTuple, TypeVar

from petrelwood.settings.decoders import Decoder
from petrelwood.settings.errors import InvalidValueError, SettingsError, similar_name, suggestion
from petrelwood.settings.kdl import KdlNode, Value
from petrelwood.settings.kdl_scan import Position

T = TypeVar("T")


class Required(Enum):
    """In place of a default: the value must be given."""

    REQUIRED = "required"


REQUIRED: Final = Required.REQUIRED
UNKNOWN_POSITION = Position(0, 0)


class Origin(NamedTuple):
    """Where a value stands."""

    file: str
    line: int


class ReadValue(NamedTuple):
    """A value that was asked for, as `petrelwood config show` prints it."""

    key: str  # path of the node, and what of it
    value: object  # as the file has it, or the decoded default
    origin: Origin | None  # None: the default


@dataclass(frozen=True, slots=True)
class Collector:
    """Where the nodes of one file report to.

    Attributes:
        errors: Collects what is wrong; None: the first error is raised.
        values: Collects the values that are asked for; None: they are not noted.
    """

    errors: list[SettingsError] | None = None
    values: list[ReadValue] | None = None


class _Absence(NamedTuple):
    """Something is missing, and a name that nobody knows may be meant for it."""

    similar_name: str
    error: SettingsError


class Node:
    """A node with its place; it marks what was read, so that `reject_unknown` can name what is not known.

    Where its collector takes errors, a wrong value is reported there and a sample of its kind stands in for
    it, so that one problem does not make others.

    Attributes:
        name: Its name.
        args: Its arguments, as the file has them.
        props: Its properties, as the file has them.
        children: The nodes in its block.
        file: The path, as the file was named.
        line: Counted from 1; 0 where it is not known.
        column: Counted from 1; 0 where it is not known.
        path: Names of the nodes from the top down to this one, which tell values apart.
        has_errors: A sample stands in for something in it, so conclusions from its values mean nothing.
        partial: A part of it could not be found; what it lacks may be there.
        collector: Takes what it reports.
    """

    def __init__(
        self,
        name: str,
        file: str,
        position: Position,
        path: str,
        collector: Collector,
        args: Sequence[Value] = (),
        props: dict[str, Value] | None = None,
    ) -> None:
        self.name = name
        self.file = file
        self.line = position.line
        self.column = position.column
        self.path = path
        self.args = list(args)
        self.props = {} if props is None else props
        self.children: list[Node] = []
        self.has_errors = False
        self.partial = False
        self.collector = collector
        self._is_missing = False
        self._absences: list[_Absence] = []
        self._known_props: set[str] = set()
        self._known_children: set[str] = set()

    @property
    def folder(self) -> Path:
        """The folder of its file, from which paths in it are seen."""
        return Path(self.file).parent

    def resolve(self, path: str) -> str:
        """Return a path of its file as seen from the working directory; "" stays."""
        return str(self.folder / path) if path else ""

    def location(self, seen_from: "Node") -> str:
        """Return where it stands, in the words of a message about another node."""
        if seen_from.file == self.file:
            return f"on line {self.line}"
        return f"in {self.file}:{self.line}"

    def error(self, message: str) -> SettingsError:
        """Return an error with this node's place."""
        return SettingsError(self.file, self.line, message, self.column)

    def report(self, message: str) -> None:
        """Report that its values are wrong, unless that follows from an error that was reported of it.

        Raises:
            SettingsError: Errors are not collected.
        """
        errors = self.collector.errors
        if errors is None:
            raise self.error(message)
        if not self.has_errors and not self._is_missing:
            errors.append(self.error(message))

    def report_invalid_value(self, error: SettingsError) -> None:
        """Report that a value of it is wrong or missing, for which a sample stands in.

        Raises:
            SettingsError: Errors are not collected.
        """
        errors = self.collector.errors
        if errors is None:
            raise error
        if not self._is_missing:
            errors.append(error)
        self.has_errors = True

    def _report_absence(self, name: str, present: Sequence[str], error: SettingsError) -> None:
        """Report that something is missing.

        Where something with a similar name is present it may be meant. If `reject_unknown` then finds that
        nobody knows that name, its message is enough.
        """
        similar = similar_name(name, present)
        if similar is not None and self.collector.errors is not None:
            self.has_errors = True
            self._absences.append(_Absence(similar, error))
        else:
            self.report_invalid_value(error)

    def _report_unknown(self, error: SettingsError) -> None:
        if self.collector.errors is None:
            raise error
        self.collector.errors.append(error)

    def _note_value(self, key: str, value: object, *, is_default: bool = False) -> None:
        if self.collector.values is not None:
            path = f"{self.path} > {key}" if key else self.path
            origin = None if is_default else Origin(self.file, self.line)
            self.collector.values.append(ReadValue(path, value, origin))

    def convert(self, decoder: Decoder[T], subject: str, value: Value) -> T:
        """Return a value decoded; `subject` names it in an error.

        Raises:
            SettingsError: The decoder does not take it.
        """
        try:
            return decoder.decode(value, subject)
        except InvalidValueError as error:
            raise self.error(str(error)) from error

    def decode(self, decoder: Decoder[T], subject: str, value: Value) -> T:
        """Return a value decoded, or report the error and return the decoder's sample."""
        try:
            return self.convert(decoder, subject, value)
        except SettingsError as error:
            self.report_invalid_value(error)
            return decoder.sample

    def arg(self, decoder: Decoder[T], what: str, default: T | Required = REQUIRED, at: int = 0) -> T:
        """Return the argument at an index, decoded; `what` it is stands in the error if it is missing."""
        if at < len(self.args):
            return self.decode(decoder, f"'{self.name}'", self.args[at])
        if isinstance(default, Required):
            self.report_invalid_value(self.error(f"'{self.name}' needs {what}"))
            return decoder.sample
        return default

    def prop(self, name: str, decoder: Decoder[T], default: T | Required = REQUIRED) -> T:
        """Return a property, decoded."""
        self._known_props.add(name)
        if name in self.props:
            decoded = self.decode(decoder, f"{name}=", self.props[name])
            self._note_value(name, self.props[name])
            return decoded
        if isinstance(default, Required):
            self._report_absence(name, list(self.props), self.error(f"'{self.name}' needs {name}=..."))
            return decoder.sample
        self._note_value(name, default, is_default=True)
        return default

    def every(self, name: str) -> "list[Node]":
        """Return the children of a name."""
        self._known_children.add(name)
        return [child for child in self.children if child.name == name]

    def labelled(self, name: str, kind: str) -> "list[Node]":
        """Return the children of a name, the first of each label; `kind` names them in errors."""
        first: dict[Value, Node] = {}
        for node in self.every(name):
            label = node.args[0] if node.args else None
            if label in first:
                node.report(f"{kind} '{label}' is given twice; first {first[label].location(node)}")
            first.setdefault(label, node)
        return list(first.values())

    def optional_child(self, name: str) -> "Node | None":
        """Return the one child of a name, or None."""
        nodes = self.every(name)
        if len(nodes) > 1:
            nodes[1].report(f"'{name}' is given twice; first {nodes[0].location(self)}")
        return nodes[0] if nodes else None

    def child(self, name: str) -> "Node":
        """Return the one child of a name; if it is missing that is reported, and a stand-in returned."""
        node = self.optional_child(name)
        if node is not None:
            return node
        if not self.partial:
            present = [child.name for child in self.children]
            self._report_absence(name, present, self.error(f"'{self.name}' needs a '{name}'"))
        return MissingNode(self, name)

    def value(self, name: str, decoder: Decoder[T], default: T | Required = REQUIRED) -> T:
        """Return the only argument of the one child of a name, decoded."""
        if isinstance(default, Required):
            node = self.child(name)
        else:
            found = self.optional_child(name)
            if found is None:
                self._note_value(name, default, is_default=True)
                return default
            node = found
        decoded = node.arg(decoder, "a value")
        self.has_errors = self.has_errors or node.has_errors
        node.reject_unknown(1)
        node._note_value("", node.args[0] if node.args else None)
        return decoded

    def reject_unknown(self, max_args: int = 0) -> None:
        """Report what was given that nobody has asked for, and what is missing for sure.

        Raises:
            SettingsError: Errors are not collected.
        """
        for absence in self._absences:
            if absence.similar_name in self._known_props or absence.similar_name in self._known_children:
                self._report_unknown(absence.error)
        self._absences = []
        for name in self.props:
            if name not in self._known_props:
                hint = suggestion(name, sorted(self._known_props))
                self._report_unknown(self.error(f"'{self.name}' has no property '{name}'{hint}"))
        if len(self.args) > max_args:
            values = "value" if max_args == 1 else "values"
            message = f"'{self.name}' takes {max_args} {values}, not {len(self.args)}"
            self._report_unknown(self.error(message))
        for child in self.children:
            if child.name not in self._known_children:
                hint = suggestion(child.name, sorted(self._known_children))
                self._report_unknown(child.error(f"'{self.name}' has no '{child.name}'{hint}"))


class MissingNode(Node):
    """Stands in for a node that is missing; it reports nothing, since its absence is reported."""

    def __init__(self, parent: Node, name: str) -> None:
        collector = Collector(parent.collector.errors)
        position = Position(parent.line, parent.column)
        super().__init__(name, parent.file, position, f"{parent.path} > {name}", collector)
        self._is_missing = True
        self.has_errors = True


def node_from_kdl(
    raw: KdlNode, file: str, positions: Iterator[Position], path_before: str, collector: Collector
) -> Node:
    """Return a node of a parsed text with its children.

    `positions` are those of it and its children, in the order of the text; `path_before` begins its path.
    """
    position = next(positions, UNKNOWN_POSITION)
    has_label = bool(raw.args) and isinstance(raw.args[0], str) and bool(raw.children)
    path = path_before + raw.name + (f' "{raw.args[0]}"' if has_label else "")
    node = Node(raw.name, file, position, path, collector, raw.args, dict(raw.properties))
    node.children = [node_from_kdl(child, file, positions, f"{path} > ", collector) for child in raw.children]
    return node
