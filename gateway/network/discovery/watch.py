"""Discovery: a snapshot to begin with, then a watch for changes, for as long as the gateway runs.

Where lists are pushed, the address is taken for an agent's of this gateway's own, which answers at once and
at no cost; where they are polled, or callers are turned away, for one service of the whole fleet.
"""

from __future__ import annotations

import asyncio
import logging
import math
import random
from collections.abc import Callable

from gateway.config import Address, EndpointList
from gateway.network.discovery.backoff import CALL_TIMEOUT_S, FIRST_WAIT_S, MAX_WAIT_S, CallPace
from gateway.network.discovery.client import (
    DiscoveryClient,
    DiscoveryError,
    DiscoveryOverloadedError,
    DiscoveryTimeoutError,
    InvalidAnswerError,
)
from gateway.network.discovery.drain_memory import DrainMemory

PATH = "/discovery/hosts"
SHORT_WATCH_MS = 1  # of a first call, and of the first after a failure: one that waits could hang unnoticed
WATCH_SPARE_S = 1.0  # a watch that is so much late is broken
MIN_GAP_S = 0.05  # between answers that bring nothing, should they come at once
GRACE_PART = 0.25  # where lists are pushed, waits take up to so much of the grace after word of a drain

log = logging.getLogger(__name__)


class Discovery:
    """Watches the list of endpoints and passes on all that changes."""

    def __init__(
        self,
        address: Address,
        on_list: Callable[[EndpointList], None],
        known_index: int | None = None,
        *,
        fleet: int = 1,
        seed: int | None = None,
        pushed: bool = False,
        grace_s: float = math.inf,
    ) -> None:
        """Hand lists to `on_list`. With no known version the first call asks for a snapshot."""
        # An agent that is back has changes that bind: it is not left uncalled for longer than allowed then.
        longest_s = max(FIRST_WAIT_S, min(MAX_WAIT_S, grace_s * GRACE_PART)) if pushed else MAX_WAIT_S
        self._address = address
        self._on_list = on_list
        self._index = known_index  # version of the list that is known; None: a snapshot is asked for
        self._pace = CallPace(fleet, random.Random(seed), alone=pushed, max_wait_s=longest_s)
        self._client = DiscoveryClient(address)
        self._memory = DrainMemory(known_index or 0)
        self._failure_logged = False  # and no success since
        self._was_refused = False  # the call before was turned away, or broke
        self._moved = asyncio.Event()
        self.listed = asyncio.Event()  # the first answer has come

    def move(self, address: Address) -> None:
        """From now on ask at another address, beginning with its snapshot."""
        if address == self._address:
            return
        self._address = address
        self._client.move(address)
        self._failure_logged = False
        self._index = None
        self._moved.set()

    async def run(self) -> None:
        """Watch until cancelled, anew whenever the address moves.

        Whatever is under way at the old one, be it a call, a connection that does not come up or a wait, is
        dropped.
        """
        while True:
            self._moved.clear()
            watch = asyncio.create_task(self._watch())
            moved = asyncio.create_task(self._moved.wait())
            try:
                await asyncio.wait((watch, moved), return_when=asyncio.FIRST_COMPLETED)
            finally:
                for task in (watch, moved):
                    task.cancel()
                error, _ = await asyncio.gather(watch, moved, return_exceptions=True)
            if not self._moved.is_set():  # an error of ours must not end the watch for good
                log.error("the watch of discovery failed", exc_info=error)
                await asyncio.sleep(MAX_WAIT_S)

    async def _watch(self) -> None:
        """Poll and watch at one address. After a failure it goes on from the version that is known."""
        loop = asyncio.get_running_loop()
        watch_ms = SHORT_WATCH_MS
        self._was_refused = False
        try:
            while True:
                started_at_s = loop.time()
                try:
                    is_idle = await self._ask(watch_ms)
                except DiscoveryError as error:
                    watch_ms = SHORT_WATCH_MS
                    await asyncio.sleep(self._wait_after(error, loop.time() - started_at_s))
                else:
                    if is_idle and watch_ms > SHORT_WATCH_MS and loop.time() - started_at_s < MIN_GAP_S:
                        await asyncio.sleep(MIN_GAP_S)
                    watch_ms = self._pace.watch_ms()
        finally:
            self._client.close()

    async def _ask(self, watch_ms: int) -> bool:
        """Make one call and pass on what it brings; return whether that was nothing, on a watch."""
        index = self._index
        if index is None:
            endpoint_list = await self._call(PATH, CALL_TIMEOUT_S)
        else:
            timeout_s = max(CALL_TIMEOUT_S, watch_ms / 1000 + WATCH_SPARE_S)
            endpoint_list = await self._call(f"{PATH}?since={index}&timeout_ms={watch_ms}", timeout_s)
        if not endpoint_list.is_snapshot and (index is None or endpoint_list.index < index):
            raise InvalidAnswerError("a change where a snapshot was due, or the version went back")
        self._pass_on(endpoint_list)
        self._index = endpoint_list.index
        self._pace.on_answer()
        self._was_refused = False
        return index is not None and not endpoint_list.entries

    async def _call(self, target: str, timeout_s: float) -> EndpointList:
        return await self._client.call(target, timeout_s)

    def _pass_on(self, endpoint_list: EndpointList) -> None:
        if endpoint_list.entries or endpoint_list.is_snapshot:
            now_s = asyncio.get_running_loop().time()
            self._on_list(self._memory.reconcile(endpoint_list, now_s))
        self.listed.set()
        self._failure_logged = False

    def _wait_after(self, error: DiscoveryError, elapsed_s: float) -> float:
        """Take note of a call that failed after so long, and return how long to wait for the next one."""
        self._client.close()
        if not self._failure_logged:
            log.warning("discovery: %s", error)
        self._failure_logged = True
        if isinstance(error, DiscoveryOverloadedError):
            self._pace.on_overload()
        elif isinstance(error, InvalidAnswerError):
            self._index = None
        # Discovery may have come back at any time in a call that was not answered, or was the first to be
        # refused. Where it refuses again, it serves nobody sooner for being called more. And a watch lasts
        # for long, but a break tells its end.
        is_silent = isinstance(error, DiscoveryTimeoutError)
        may_be_late = is_silent or (not self._was_refused and elapsed_s <= CALL_TIMEOUT_S)
        self._was_refused = not is_silent
        return self._pace.after_failure_s(elapsed_s if may_be_late else 0.0)
