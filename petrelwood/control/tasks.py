"""Background tasks that are cancelled together with their owner."""

import asyncio
from collections.abc import Coroutine


class BackgroundTasks:
    """Tasks of the running event loop; each is referenced until it ends, so it is not garbage-collected."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, work: Coroutine[object, object, None]) -> asyncio.Task[None]:
        """Start a coroutine as a task."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def cancel(self) -> None:
        """Cancel all tasks that still run."""
        for task in list(self._tasks):
            task.cancel()
