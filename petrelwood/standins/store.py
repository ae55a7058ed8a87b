"""A stand-in store of models: the simulated one of `emulate.store` behind MessagePack-RPC."""

import asyncio

from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets
from tornado.tcpserver import TCPServer

from petrelwood.clocks import LoopClock
from petrelwood.emulate.store import Store
from petrelwood.links import rpc
from petrelwood.standins import host
from petrelwood.standins.records import Records


class StoreServer(TCPServer):
    """Answers each `fetch [bytes]` when the simulated store has delivered."""

    def __init__(self, day):
        super().__init__()
        self.store = Store(LoopClock(), **day.store)

    async def handle_stream(self, stream, address):
        """Read requests until the connection ends."""
        reader = rpc.Reader(1_000_000)
        try:
            while True:
                for message in reader.feed(await stream.read_bytes(65536, partial=True)):
                    self.store.fetch(message[3][0], lambda ok, i=message[1]: self.reply(stream, i, ok))
        except (StreamClosedError, rpc.MalformedRpcError):
            stream.close()

    @staticmethod
    def reply(stream, msgid, ok):
        """Answer a request, unless its connection is closed."""
        if not stream.closed():
            stream.write(rpc.response(msgid, None, "ok" if ok else "refused")).add_done_callback(
                lambda done: done.exception()
            )


async def serve(day, listen, folder):
    """Run the store until a signal."""
    server, records = StoreServer(day), Records(folder, "store")
    server.add_sockets(sockets := bind_sockets(listen[1], listen[0]))
    operator = asyncio.ensure_future(
        host.listen_to_operator(
            lambda message: host.schedule_troubles(
                day, message["start"], {"store-stop": (lambda t: server.store.stop(t.span), None)}
            )
        )
    )
    host.announce_ready(sockets[0].getsockname()[:2])
    await host.wait_for_signal()
    operator.cancel()
    records.put("counts", **server.store.counts)
    records.close()
