"""Tornado's stream without its initial read attempt, because most reads here begin before data arrives."""

import asyncio
from typing import TYPE_CHECKING

from tornado.ioloop import IOLoop
from tornado.iostream import IOStream

from petrelwood.links import sockets


class Stream(IOStream):
    """A connection from a client or to a worker."""

    if TYPE_CHECKING:

        def read_bytes(self, num_bytes: int, partial: bool = False) -> asyncio.Future[bytes]:
            """Read as in IOStream, whose annotation hides that it returns a future."""

    def _try_inline_read(self) -> None:
        """Read as in IOStream, but wait for data that is not buffered, which saves a system call per read."""
        pos = self._find_read_pos()
        if pos is not None:
            self._read_from_buffer(pos)
            return
        self._check_closed()
        self._add_io_state(IOLoop.READ)

    def set_nodelay(self, value: bool) -> None:
        """Set the option as in IOStream, but keep a connection on which that fails."""
        if value:
            sockets.disable_delay(self.socket)

    def unsent_bytes(self) -> int:
        """Return the number of written bytes that the kernel has not taken yet.

        It is 0 for a closed stream, which may have been closed by a failed write.
        """
        return 0 if self.closed() else len(self._write_buffer)
