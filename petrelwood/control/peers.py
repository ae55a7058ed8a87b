"""Calls to the other configuration servers."""

from collections.abc import Iterator, Mapping
from typing import Any

from petrelwood.control import messages
from petrelwood.control.errors import MalformedMessageError, PeerError
from petrelwood.decide.cluster.log_records import Extract, Message, Reply
from petrelwood.links.rpc_client import RpcClient, RpcError

Address = tuple[str, int]
CALL_TIMEOUT = 1.0  # seconds until a call without an answer fails


class Peers:
    """The connections to the other servers, by name; each is opened on first use."""

    def __init__(self, addresses: Mapping[str, Address]) -> None:
        self._clients = {
            name: RpcClient(address, messages.MAX_MESSAGE_SIZE) for name, address in addresses.items()
        }

    def __len__(self) -> int:
        return len(self._clients)

    def __iter__(self) -> Iterator[str]:
        return iter(self._clients)

    async def send(self, peer: str, message: Message) -> Reply:
        """Return a peer's reply to a message.

        Raises:
            PeerError: there was no answer in time, or a malformed one.
        """
        method, params = messages.encode_call(message)
        result = await self._call(peer, method, params)
        try:
            return messages.decode_reply(result)
        except MalformedMessageError as error:
            raise PeerError(f"{peer} answered {method} with {error}") from error

    async def read_after(self, peer: str, slot: int) -> Extract:
        """Return the decided records after a slot, as far as a peer knows them.

        Raises:
            PeerError: there was no answer in time, or a malformed one.
        """
        result = await self._call(peer, "catch-up", [slot])
        try:
            return messages.decode_extract(result)
        except MalformedMessageError as error:
            raise PeerError(f"{peer} answered catch-up with a malformed extract: {error}") from error

    async def voted_in(self, peer: str) -> int | None:
        """Return the highest slot that a peer may have voted in, or None if it does not know.

        Raises:
            PeerError: there was no answer in time, or a malformed one.
        """
        result = await self._call(peer, "voted-in", [])
        try:
            return messages.decode_voted_in(result)
        except MalformedMessageError as error:
            raise PeerError(f"{peer} answered voted-in with a malformed slot: {error}") from error

    async def _call(self, peer: str, method: str, params: list[Any]) -> object:
        try:
            result: object = await self._clients[peer].call(method, params, CALL_TIMEOUT)
        except RpcError as error:
            raise PeerError(f"{peer} did not answer {method}: {error}") from error
        return result

    def close(self) -> None:
        """Close all connections; calls without an answer fail."""
        for client in self._clients.values():
            client.close()
