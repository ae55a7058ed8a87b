"""Tasks that run beside what starts them and end with their owner."""

import asyncio
from collections.abc import Coroutine


class BackgroundTasks:
    """Tasks of the running loop that are kept alive until they end or `cancel` is called."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, work: Coroutine[object, object, None]) -> asyncio.Task[None]:
        """Runs a coroutine as a task of its own."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def cancel(self) -> None:
        """Cancels all that still run."""
        for task in list(self._tasks):
            task.cancel()
