"""The watch of the endpoint list: a snapshot first, then incremental updates."""

from __future__ import annotations

import asyncio
import logging
import math
import random
from collections.abc import Callable

from gateway.config import Address, EndpointList
from gateway.network.discovery.backoff import (
    CALL_TIMEOUT_S,
    INITIAL_BACKOFF_S,
    MAX_BACKOFF_S,
    DiscoveryBackoff,
)
from gateway.network.discovery.client import (
    DiscoveryClient,
    DiscoveryError,
    DiscoveryOverloadedError,
    DiscoveryTimeoutError,
    InvalidResponseError,
)
from gateway.network.discovery.drain_memory import DrainMemory

PATH = "/discovery/hosts"  # the resource that lists the endpoints
# Timeout in milliseconds of the first watch and of the first one after a failure. A long one could remain
# without a response unnoticed.
SHORT_WATCH_MS = 1
WATCH_GRACE_S = 1.0  # seconds beyond its timeout after which a watch without a response has failed
MIN_WATCH_INTERVAL_S = 0.05  # seconds between watches that return at once without a change
RESTART_DELAY_S = 0.5  # seconds before a watch that failed by an internal error is restarted
MAX_DRAIN_GRACE_FRACTION = 0.25  # share of the drain grace period that a delay may take for pushed lists

log = logging.getLogger(__name__)


class EndpointWatch:
    """Watches discovery's endpoint list and reports its snapshots and incremental updates.

    Pushed lists come from an agent on the gateway's own machine, which responds at once and at no cost.
    Polled lists come from one service for the fleet; a rejection for overload shows that it is shared.
    """

    def __init__(
        self,
        address: Address,
        on_list: Callable[[EndpointList], None],
        known_index: int | None = None,
        *,
        fleet_size: int = 1,
        seed: int | None = None,
        is_pushed: bool = False,
        drain_grace_s: float = math.inf,
    ) -> None:
        """Report lists to `on_list`; without a known version the first call requests a snapshot.

        `drain_grace_s` is the time in seconds after which a draining endpoint may receive no attempt.
        """
        self._address = address
        self._on_list = on_list
        self._index = known_index  # the list's known version; None requests a snapshot
        self._backoff = DiscoveryBackoff(
            fleet_size,
            random.Random(seed),
            is_only_caller=is_pushed,
            max_backoff_s=_max_backoff_s(drain_grace_s) if is_pushed else MAX_BACKOFF_S,
        )
        self._client = DiscoveryClient(address)
        self._drain_memory = DrainMemory(known_index or 0)
        self._is_failure_logged = False  # and no call has succeeded since
        self._was_rejected = False  # the previous call failed otherwise than by a timeout
        self._address_changed = asyncio.Event()
        self.list_received = asyncio.Event()  # set once a call has succeeded

    def set_address(self, address: Address) -> None:
        """Continue at another address, beginning with a snapshot."""
        if address == self._address:
            return
        self._address = address
        self._client.set_address(address)
        self._is_failure_logged = False
        self._index = None
        self._address_changed.set()

    async def run(self) -> None:
        """Watch until cancelled, restarting after a change of the address and after an internal error."""
        while True:
            self._address_changed.clear()
            error = await self._watch_until_address_changes()
            if not self._address_changed.is_set():
                log.error("discovery: watch failed, restarting in %.1f s", RESTART_DELAY_S, exc_info=error)
                await asyncio.sleep(RESTART_DELAY_S)

    async def _watch_until_address_changes(self) -> BaseException | None:
        """Watch until the address changes, then cancel the call, the connecting or the delay in progress.

        Returns the error that ended the watch, if any.
        """
        watch = asyncio.create_task(self._watch())
        address_changed = asyncio.create_task(self._address_changed.wait())
        try:
            await asyncio.wait((watch, address_changed), return_when=asyncio.FIRST_COMPLETED)
        finally:
            watch.cancel()
            address_changed.cancel()
            error, _ = await asyncio.gather(watch, address_changed, return_exceptions=True)
        return error

    async def _watch(self) -> None:
        """Poll one address until cancelled. After a failure the watch continues from the known version."""
        loop = asyncio.get_running_loop()
        watch_ms = SHORT_WATCH_MS
        self._was_rejected = False
        try:
            while True:
                started_s = loop.time()
                try:
                    is_unchanged = await self._poll(watch_ms)
                except DiscoveryError as error:
                    delay_s = self._delay_after_failure_s(error, loop.time() - started_s)
                    watch_ms = SHORT_WATCH_MS
                else:
                    is_watch = is_unchanged and watch_ms > SHORT_WATCH_MS
                    is_immediate = is_watch and loop.time() - started_s < MIN_WATCH_INTERVAL_S
                    delay_s = MIN_WATCH_INTERVAL_S if is_immediate else 0.0
                    watch_ms = self._backoff.watch_timeout_ms()
                if delay_s:
                    await asyncio.sleep(delay_s)
        finally:
            self._client.close()

    async def _poll(self, watch_ms: int) -> bool:
        """Make one call and report its list; return whether it was a watch that ended without a change."""
        index = self._index
        if index is None:
            endpoint_list = await self._fetch_list(PATH, CALL_TIMEOUT_S)
        else:
            timeout_s = max(CALL_TIMEOUT_S, watch_ms / 1000 + WATCH_GRACE_S)
            endpoint_list = await self._fetch_list(f"{PATH}?since={index}&timeout_ms={watch_ms}", timeout_s)
        if not endpoint_list.is_snapshot and (index is None or endpoint_list.index < index):
            raise InvalidResponseError("an incremental update instead of a snapshot, or an older version")
        self._report(endpoint_list)
        self._index = endpoint_list.index
        self._backoff.on_success()
        self._was_rejected = False
        return index is not None and not endpoint_list.entries

    async def _fetch_list(self, target: str, timeout_s: float) -> EndpointList:
        return await self._client.fetch_list(target, timeout_s)

    def _report(self, endpoint_list: EndpointList) -> None:
        if endpoint_list.entries or endpoint_list.is_snapshot:
            now_s = asyncio.get_running_loop().time()
            self._on_list(self._drain_memory.reconcile(endpoint_list, now_s))
        self.list_received.set()
        self._is_failure_logged = False

    def _delay_after_failure_s(self, error: DiscoveryError, elapsed_s: float) -> float:
        """Record a failed call that took `elapsed_s`; return the delay in seconds before the next call."""
        self._client.close()
        if not self._is_failure_logged:
            log.warning("discovery: call failed, retrying with backoff (logged once per outage): %s", error)
        self._is_failure_logged = True
        if isinstance(error, DiscoveryOverloadedError):
            self._backoff.on_overload()
        elif isinstance(error, InvalidResponseError):
            self._index = None
        is_timeout = isinstance(error, DiscoveryTimeoutError)
        reachable_s = elapsed_s if is_timeout or self._may_have_been_reachable(elapsed_s) else 0.0
        self._was_rejected = not is_timeout
        return self._backoff.next_delay_s(reachable_s)

    def _may_have_been_reachable(self, elapsed_s: float) -> bool:
        """Return whether discovery may have been reachable since the start of a call that was rejected.

        After repeated rejections earlier calls gain nothing. A long call was a watch, whose break shows when
        discovery became unreachable.
        """
        return not self._was_rejected and elapsed_s <= CALL_TIMEOUT_S


def _max_backoff_s(drain_grace_s: float) -> float:
    """Return the longest backoff for pushed lists, which take effect whether they are received or not."""
    return max(INITIAL_BACKOFF_S, min(MAX_BACKOFF_S, drain_grace_s * MAX_DRAIN_GRACE_FRACTION))
