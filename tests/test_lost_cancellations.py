"""A task that is cancelled just as its awaited result arrives must end.

`asyncio.wait_for` of Python 3.11 loses such a cancellation. The tests force the race: the result and the
cancellation come in the same iteration of the event loop.
"""

import ast
import asyncio
import pathlib
import unittest
from unittest import mock

from petrelwood.dispatch.handover.predecessor import PredecessorProcess
from petrelwood.dispatch.handover.successor import SuccessorProcess
from petrelwood.fronts import mqtt_connection
from petrelwood.fronts.mqtt_connection import MqttConnection

PACKAGE = pathlib.Path(mqtt_connection.__file__).parents[1]
NOT_SERVING = ("standins", "lab")  # packages that end with the process that runs them
ITERATIONS = 3  # of the event loop, until a task waits


class Cancelled(unittest.IsolatedAsyncioTestCase):
    async def _is_cancelled(self, work, awaited, result):
        """Cancel a task in the iteration in which `awaited` gets its result; return whether it ended."""
        task = asyncio.ensure_future(work)
        for _ in range(ITERATIONS):
            await asyncio.sleep(0)
        awaited.set_result(result)
        task.cancel()
        await asyncio.wait([task], timeout=5)
        ended = task.cancelled()
        task.cancel()
        return ended

    async def test_a_session_as_its_connection_is_made(self):
        """Guards against a session at the broker that remains after the front was closed."""
        connected = asyncio.get_running_loop().create_future()
        stream = mock.Mock()
        stream.connect.return_value = connected
        stream.read_bytes.return_value = asyncio.get_running_loop().create_future()
        terms = mock.Mock(tls=None, broker=("127.0.0.1", 1), connect_within=60 * mqtt_connection.SECOND)
        with mock.patch.object(mqtt_connection, "IOStream", lambda sock: sock.close() or stream):
            connection = MqttConnection(terms, "c1", lambda: 0)
            connection.write = mock.Mock()
            self.assertTrue(await self._is_cancelled(connection.open(), connected, stream))
            connection.write.assert_not_called()

    async def test_a_successor_as_the_word_to_go_comes(self):
        """Guards against a process that takes over after it was told to stop."""
        received = asyncio.get_running_loop().create_future()
        successor = SuccessorProcess("path", asyncio.get_running_loop(), "d")
        successor.machine = mock.Mock()
        successor.connection = mock.Mock(send=mock.AsyncMock())
        successor.connection.receive.return_value = received
        self.assertTrue(await self._is_cancelled(successor.take_over(lambda: 0), received, mock.Mock()))

    async def test_a_predecessor_as_the_greeting_comes(self):
        """Guards against a hand-over that begins in a process that is stopping."""
        received = asyncio.get_running_loop().create_future()
        hooks = {name: mock.Mock() for name in ("on_handover", "on_resume", "on_finished")}
        predecessor = PredecessorProcess("path", mock.Mock(), mock.Mock(), mock.Mock(), **hooks)
        channel = mock.Mock(send=mock.AsyncMock())
        channel.receive.return_value = received
        self.assertTrue(await self._is_cancelled(predecessor._serve(channel), received, mock.Mock()))
        channel.send.assert_not_called()


class Calls(unittest.TestCase):
    def test_nothing_that_serves_calls_wait_for(self):
        """Guards against new calls of `wait_for`, which would lose a cancellation."""
        found = [
            f"{file.relative_to(PACKAGE)}:{node.lineno}"
            for file in PACKAGE.rglob("*.py")
            if file.relative_to(PACKAGE).parts[0] not in NOT_SERVING
            for node in ast.walk(ast.parse(file.read_text()))
            if isinstance(node, ast.Attribute) and node.attr == "wait_for"
        ]
        self.assertEqual(found, [])


if __name__ == "__main__":
    unittest.main()
