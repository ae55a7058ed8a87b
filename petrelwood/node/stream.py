"""Tornado's stream without its first look at the socket: most reads here begin long before there is anything
to read."""

from tornado.ioloop import IOLoop
from tornado.iostream import IOStream


class Stream(IOStream):
    def _try_inline_read(self):
        """As in IOStream, but what is not in the buffer is waited for: one system call a read and not two."""
        pos = self._find_read_pos()
        if pos is not None:
            self._read_from_buffer(pos)
            return
        self._check_closed()
        self._add_io_state(IOLoop.READ)

    def unsent(self):
        """Bytes that were written and that the machine has not taken yet."""
        return len(self._write_buffer)
