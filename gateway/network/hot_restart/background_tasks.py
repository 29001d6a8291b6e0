"""Background tasks that nothing awaits or cancels."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine


class BackgroundTasks:
    """Keeps background tasks alive until they end.

    The event loop holds only weak references to its tasks: without a strong reference, a running task may be
    garbage-collected.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Create all tasks on `loop`."""
        self._loop = loop
        self._running: set[asyncio.Task[None]] = set()

    def start(self, coroutine: Coroutine[None, None, None]) -> None:
        """Run the coroutine as a task; asyncio logs an exception that it raises."""
        task = self._loop.create_task(coroutine)
        self._running.add(task)
        task.add_done_callback(self._running.discard)
