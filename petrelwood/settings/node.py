"""Nodes of a settings file, which return decoded values and report errors with their positions."""

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
    """The type of `REQUIRED`, which in place of a default means that the value must be given."""

    REQUIRED = "required"


REQUIRED: Final = Required.REQUIRED
UNKNOWN_POSITION = Position(0, 0)


class Origin(NamedTuple):
    """The position of a value."""

    file: str
    line: int


class ReadValue(NamedTuple):
    """A value that the decoding has read, as `petrelwood config show` prints it."""

    key: str  # path of the node, followed by the name of the property if any
    value: object  # the raw value in the file, or the decoded default
    origin: Origin | None  # None: the value is the default


@dataclass(frozen=True, slots=True)
class Collector:
    """Receives the errors and values that the nodes of a file report.

    Attributes:
        errors: Receives all errors; None: the first error is raised.
        values: Receives the values that the decoding reads; None: values are not recorded.
    """

    errors: list[SettingsError] | None = None
    values: list[ReadValue] | None = None


class _Absence(NamedTuple):
    """The error for a missing item, for which a misspelt name may stand."""

    similar_name: str
    error: SettingsError


class Node:
    """A node of a settings file, which tracks the names that were read so that others can be rejected.

    If the collector accepts errors, an invalid value is reported and replaced by a sample of its kind, so
    that one error does not cause others.

    Attributes:
        name: Its name.
        args: Its raw arguments.
        props: Its raw properties.
        children: The nodes in its block.
        file: The path, as the file was named.
        line: Counted from 1; 0 if it is unknown.
        column: Counted from 1; 0 if it is unknown.
        path: The names of the nodes from the top level down to this one, which identify a value.
        has_errors: A sample replaces an invalid value in the node, so checks of its values are meaningless.
        partial: A part of the node could not be read, and may contain what seems to be missing.
        collector: Receives the errors and values of the node.
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
        """The folder of the file, to which paths in the file are relative."""
        return Path(self.file).parent

    def resolve(self, path: str) -> str:
        """Return a path in the file relative to the working directory; "" is returned unchanged."""
        return str(self.folder / path) if path else ""

    def location(self, seen_from: "Node") -> str:
        """Return the position of the node, worded for an error message about the node `seen_from`."""
        if seen_from.file == self.file:
            return f"on line {self.line}"
        return f"in {self.file}:{self.line}"

    def error(self, message: str) -> SettingsError:
        """Return an error with the position of this node."""
        return SettingsError(self.file, self.line, message, self.column)

    def report(self, message: str) -> None:
        """Report an error in the node's values, unless the node has errors already, which may have caused it.

        Raises:
            SettingsError: Errors are not collected.
        """
        errors = self.collector.errors
        if errors is None:
            raise self.error(message)
        if not self.has_errors and not self._is_missing:
            errors.append(self.error(message))

    def report_invalid_value(self, error: SettingsError) -> None:
        """Report that a value of the node is invalid or missing and replaced by a sample.

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
        """Report a missing item.

        If an item with a similar name is present, the name may be a misspelling, and the error is deferred.
        If `reject_unknown` then reports the name as unknown, the deferred error is dropped.
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
        """Return a value decoded; `subject` names the value in error messages.

        Raises:
            SettingsError: The decoder rejected the value.
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
        """Return the decoded argument at an index; `what` describes it in the error if it is missing."""
        if at < len(self.args):
            return self.decode(decoder, f"'{self.name}'", self.args[at])
        if isinstance(default, Required):
            self.report_invalid_value(self.error(f"'{self.name}' needs {what}"))
            return decoder.sample
        return default

    def prop(self, name: str, decoder: Decoder[T], default: T | Required = REQUIRED) -> T:
        """Return the decoded value of a property."""
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
        """Return the children with a name."""
        self._known_children.add(name)
        return [child for child in self.children if child.name == name]

    def labelled(self, name: str, kind: str) -> "list[Node]":
        """Return the children with a name, the first one for each label; `kind` describes them in errors."""
        first: dict[Value, Node] = {}
        for node in self.every(name):
            label = node.args[0] if node.args else None
            if label in first:
                node.report(f"{kind} '{label}' is given twice; first {first[label].location(node)}")
            first.setdefault(label, node)
        return list(first.values())

    def optional_child(self, name: str) -> "Node | None":
        """Return the only child with a name, or None."""
        nodes = self.every(name)
        if len(nodes) > 1:
            nodes[1].report(f"'{name}' is given twice; first {nodes[0].location(self)}")
        return nodes[0] if nodes else None

    def child(self, name: str) -> "Node":
        """Return the only child with a name; if it is missing, report that and return a placeholder."""
        node = self.optional_child(name)
        if node is not None:
            return node
        if not self.partial:
            present = [child.name for child in self.children]
            self._report_absence(name, present, self.error(f"'{self.name}' needs a '{name}'"))
        return MissingNode(self, name)

    def value(self, name: str, decoder: Decoder[T], default: T | Required = REQUIRED) -> T:
        """Return the decoded argument of the only child with a name."""
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
        """Report the items that were not read as unknown, and the missing items whose error was deferred.

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
    """A placeholder for a missing node; it reports no errors because its absence is reported already."""

    def __init__(self, parent: Node, name: str) -> None:
        collector = Collector(parent.collector.errors)
        position = Position(parent.line, parent.column)
        super().__init__(name, parent.file, position, f"{parent.path} > {name}", collector)
        self._is_missing = True
        self.has_errors = True


def node_from_kdl(
    raw: KdlNode, file: str, positions: Iterator[Position], path_before: str, collector: Collector
) -> Node:
    """Return a parsed node with its children.

    `positions` are those of the node and its children in text order; `path_before` is the prefix of its path.
    """
    position = next(positions, UNKNOWN_POSITION)
    has_label = bool(raw.args) and isinstance(raw.args[0], str) and bool(raw.children)
    path = path_before + raw.name + (f' "{raw.args[0]}"' if has_label else "")
    node = Node(raw.name, file, position, path, collector, raw.args, dict(raw.properties))
    node.children = [node_from_kdl(child, file, positions, f"{path} > ", collector) for child in raw.children]
    return node
