"""The process of a configuration server, from its start to SIGTERM."""

import asyncio
import pathlib
import signal
from collections.abc import Callable, Mapping

from structlog.typing import FilteringBoundLogger
from tornado.netutil import bind_sockets

from petrelwood.control.errors import LogStorageError
from petrelwood.control.log_storage import LogStorage
from petrelwood.control.peers import Address
from petrelwood.control.server import ConfigurationServer
from petrelwood.decide.cluster.durable_replica import DiskFailedError


async def serve(
    name: str,
    listen: Address,
    peers: Mapping[str, Address],
    folder: str | pathlib.Path,
    new_log_after: int | None,
    logger: FilteringBoundLogger,
    ready: Callable[[Address], None],
) -> None:
    """Serve until SIGTERM or SIGINT.

    `ready(address)` is called once the server listens. `new_log_after`: see `LogStorage.open`.

    Raises:
        LogStorageError: the log can't be read, used or created.
        OSError: the address can't be listened on.
    """
    shutdown = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, shutdown.set)
    storage = LogStorage(folder)
    replica = storage.open(new_log_after)
    try:
        server = ConfigurationServer(name, peers, replica, storage.save, logger)
    except DiskFailedError as error:
        raise LogStorageError(f"{storage.path}: {error}") from error
    sockets = bind_sockets(listen[1], listen[0])
    server.add_sockets(sockets)
    server.start_background()
    ready(sockets[0].getsockname()[:2])
    logger.info("listening", votes_from=replica.votes_from, chosen=replica.chosen, servers=len(peers) + 1)
    await shutdown.wait()
    server.close()
    logger.info("closed", chosen=replica.chosen)
