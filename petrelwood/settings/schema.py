"""The schema of a gateway's file, derived from the code that decodes it.

The decoding runs on a node that returns a default or sample for each name and records the name. The decoding
is thus the only definition of the file format, from which the reference and completion are derived, so they
can't differ from it.
"""

from collections.abc import Iterator
from typing import NamedTuple, TypeVar

from petrelwood.settings import gateway
from petrelwood.settings.decoders import DURATION, DURATION_UNITS, FLAG, SIZE, SIZE_UNITS, Decoder
from petrelwood.settings.node import REQUIRED, UNKNOWN_POSITION, Collector, Node, Required

T = TypeVar("T")

SHOWN_SIZE_UNITS = ("GB", "MB", "KB", "B")  # largest first; defaults are in decimal units


class Item:
    """The kind and default of a property or an argument."""

    def __init__(self, decoder: Decoder[object], default: object) -> None:
        self.decoder = decoder
        self.default = default

    @property
    def takes(self) -> str:
        """The description of the accepted values."""
        return self.decoder.description

    def quoted_words(self) -> list[str]:
        """Return the accepted words in file syntax; an empty list if other values are accepted."""
        return [word if word.startswith("#") else f'"{word}"' for word in self.decoder.words]

    def format_default(self) -> str | None:
        """Return the default in file syntax, or None if a value is required."""
        default = self.default
        if isinstance(default, Required):
            return None
        if default is None or (default == "" and not self.decoder.words):
            return "none"
        if isinstance(default, int) and self.decoder is DURATION:
            return _format_measure(default, DURATION_UNITS, tuple(reversed(DURATION_UNITS)))
        if isinstance(default, int) and self.decoder is SIZE:
            return _format_measure(default, SIZE_UNITS, SHOWN_SIZE_UNITS)
        if self.decoder is FLAG:
            return f"#{default}".lower()
        return f'"{default}"' if isinstance(default, str) else f"{default:g}"


def _format_measure(amount: int, units: dict[str, int], shown: tuple[str, ...]) -> str:
    """Return an amount in the first of the `shown` units that divides it without remainder."""
    if not amount:
        return '"0s"'
    unit = next(unit for unit in shown if amount % units[unit] == 0)
    return f'"{amount // units[unit]}{unit}"'


class Argument(NamedTuple):
    """An argument of a block."""

    name: str  # describes the argument, as "a name"
    item: Item


class Block:
    """A node that is allowed in a file.

    Attributes:
        name: Its name; "" for the file as a whole.
        path: The names of the nodes from the top level down to it.
        args: Its arguments by index.
        props: Its properties by name.
        blocks: The child nodes that are allowed in it, by name.
        value: The argument of a block that has nothing else; None for other blocks.
        is_repeated: The block may be given any number of times.
        is_required: The block must be given.
    """

    def __init__(self, name: str, parent: "Block | None" = None) -> None:
        self.name = name
        self.path: str = f"{parent.path} > {name}" if parent is not None and parent.path else name
        self.args: dict[int, Argument] = {}
        self.props: dict[str, Item] = {}
        self.blocks: dict[str, Block] = {}
        self.value: Item | None = None
        self.is_repeated = False
        self.is_required = False

    def walk(self) -> "Iterator[Block]":
        """Yield the block and its descendants."""
        yield self
        for block in self.blocks.values():
            yield from block.walk()


class SchemaNode(Node):
    """A node that has each requested child and value, the latter as default or sample, recorded in its block.

    Contradictions between samples are not reported.
    """

    def __init__(self, block: Block) -> None:
        super().__init__(block.name, "", UNKNOWN_POSITION, block.path, Collector([]), args=("",))
        self.block = block

    def _block(self, name: str) -> Block:
        return self.block.blocks.setdefault(name, Block(name, self.block))

    def arg(self, decoder: Decoder[T], what: str, default: T | Required = REQUIRED, at: int = 0) -> T:
        """Return the argument's default or sample."""
        self.block.args[at] = Argument(what, Item(decoder, default))
        return decoder.sample if isinstance(default, Required) else default

    def prop(self, name: str, decoder: Decoder[T], default: T | Required = REQUIRED) -> T:
        """Return the property's default or sample."""
        self.block.props[name] = Item(decoder, default)
        return decoder.sample if isinstance(default, Required) else default

    def child(self, name: str) -> Node:
        """Return a child of the same kind."""
        block = self._block(name)
        block.is_required = True
        return SchemaNode(block)

    def optional_child(self, name: str) -> Node | None:
        """Return a child of the same kind."""
        block = self._block(name)
        block.is_required = False
        return SchemaNode(block)

    def every(self, name: str) -> list[Node]:
        """Return one child of the same kind."""
        block = self._block(name)
        block.is_repeated = True
        return [SchemaNode(block)]

    def value(self, name: str, decoder: Decoder[T], default: T | Required = REQUIRED) -> T:
        """Return the default or sample of a child's argument."""
        block = self._block(name)
        block.value = Item(decoder, default)
        block.is_required = isinstance(default, Required)
        return decoder.sample if isinstance(default, Required) else default

    def report(self, message: str) -> None:
        """Do nothing, because samples may contradict each other."""

    def reject_unknown(self, max_args: int = 0) -> None:
        """Do nothing, because the node has only the names that were read."""


def schema() -> Block:
    """Return the root block of a gateway's file."""
    root = Block("")
    gateway.decode(SchemaNode(root))
    return root


def paths() -> Iterator[str]:
    """Yield the path of each block and property, which are the keys of `descriptions.DESCRIPTIONS`."""
    for block in schema().walk():
        if block.path:
            yield block.path
            for name in block.props:
                yield f"{block.path} {name}="
