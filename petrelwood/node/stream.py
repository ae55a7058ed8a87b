"""Tornado's stream without its first look at the socket: most reads here begin before there is anything."""

import asyncio
from typing import TYPE_CHECKING

from tornado.ioloop import IOLoop
from tornado.iostream import IOStream

from petrelwood.links import sockets


class Stream(IOStream):
    """A connection of a client or to a worker."""

    if TYPE_CHECKING:

        def read_bytes(self, num_bytes: int, partial: bool = False) -> asyncio.Future[bytes]:
            """As in IOStream, whose annotation hides that it returns a future."""

    def _try_inline_read(self) -> None:
        """As in IOStream, but what is not in the buffer is waited for: one system call a read and not two."""
        pos = self._find_read_pos()
        if pos is not None:
            self._read_from_buffer(pos)
            return
        self._check_closed()
        self._add_io_state(IOLoop.READ)

    def set_nodelay(self, value: bool) -> None:
        """As in IOStream, but a connection that can't be told so still serves."""
        if value:
            sockets.disable_delay(self.socket)

    def unsent(self) -> int:
        """Bytes that were written and that the kernel has not taken yet.

        None of a closed stream, which may have been closed by the write that failed.
        """
        return 0 if self.closed() else len(self._write_buffer)
