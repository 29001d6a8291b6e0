"""Tasks that run until they end by themselves."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine


class BackgroundTasks:
    """Holds references to running tasks, which the event loop itself does not."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Run tasks on this event loop."""
        self._loop = loop
        self._running: set[asyncio.Task[None]] = set()

    def start(self, work: Coroutine[None, None, None]) -> None:
        """Run a coroutine as a task."""
        task = self._loop.create_task(work)
        self._running.add(task)
        task.add_done_callback(self._running.discard)
