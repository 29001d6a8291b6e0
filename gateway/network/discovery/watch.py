"""The watch of discovery's endpoint list, which receives a snapshot and then incremental updates."""

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

ENDPOINT_LIST_PATH = "/discovery/hosts"  # the path of the endpoint list at the discovery service
# Milliseconds for which discovery may wait for a change during the first watch and during the first watch
# after a failure. An unresponsive discovery would be detected later by a longer watch.
SHORT_WATCH_TIMEOUT_MS = 1
# Seconds that a watch waits for its response after the time for which discovery may wait for a change. A
# response that is still missing then counts as a failure.
WATCH_GRACE_S = 1.0
# Minimum duration in seconds of a watch that ends without a change. After a shorter one, the gateway waits
# this long before the next call. This limits the rate of calls to a discovery that does not wait for changes.
MIN_WATCH_INTERVAL_S = 0.05
RESTART_DELAY_S = 0.5  # delay in seconds before the watch is restarted after an internal error
# Maximum backoff for pushed lists as a fraction of the drain grace period. The gateway has to know that an
# endpoint is draining before the grace period ends.
MAX_DRAIN_GRACE_FRACTION = 0.25

log = logging.getLogger(__name__)


class EndpointWatch:
    """A watch of discovery's endpoint list that reports snapshots and incremental updates.

    Pushed lists come from an agent on the machine of the gateway, which responds immediately and at no cost.
    Polled lists come from a service that all gateways of the fleet share. If an assumed agent rejects a call
    because of overload, it is shared by the fleet as well.
    """

    def __init__(
        self,
        address: Address,
        on_list: Callable[[EndpointList], None],
        configured_list_index: int | None = None,
        *,
        fleet_size: int = 1,
        seed: int | None = None,
        is_pushed: bool = False,
        drain_grace_s: float = math.inf,
    ) -> None:
        """Create a watch; `run` executes it.

        Args:
            address: The address of discovery.
            on_list: Called with each snapshot and with each incremental update that has entries.
            configured_list_index: The index of the configured endpoint list; None if that list is empty, to
                request a snapshot first.
            fleet_size: The number of gateways in the fleet.
            seed: The seed of the random delays.
            is_pushed: Whether the lists come from an agent on this machine.
            drain_grace_s: The time in seconds after which a draining endpoint may receive no attempt.
        """
        self._address = address
        self._on_list = on_list
        self._index = configured_list_index  # the index of the known endpoint list; None requests a snapshot
        self._backoff = DiscoveryBackoff(
            fleet_size,
            random.Random(seed),
            is_only_caller=is_pushed,
            max_backoff_s=_max_backoff_s(drain_grace_s) if is_pushed else MAX_BACKOFF_S,
        )
        self._client = DiscoveryClient(address)
        self._drain_memory = DrainMemory(configured_list_index or 0)
        self._is_failure_logged = False  # True after a logged failure, until a call succeeds
        # Whether the previous call failed for a reason other than a timeout.
        self._was_last_call_rejected = False
        self._address_changed = asyncio.Event()
        self.list_received = asyncio.Event()  # set when the first call succeeds

    def set_address(self, address: Address) -> None:
        """Cancel the call in progress and continue at this address, beginning with a snapshot.

        Has no effect if the address is unchanged.
        """
        if address == self._address:
            return
        self._address = address
        self._client.set_address(address)
        self._is_failure_logged = False
        self._index = None
        self._address_changed.set()

    async def run(self) -> None:
        """Watch until cancelled; restart after a change of the address and after an internal error."""
        while True:
            self._address_changed.clear()
            error = await self._watch_until_address_changes()
            if not self._address_changed.is_set():
                log.error("discovery: watch failed, restarting in %.1f s", RESTART_DELAY_S, exc_info=error)
                await asyncio.sleep(RESTART_DELAY_S)

    async def _watch_until_address_changes(self) -> BaseException | None:
        """Watch until the address changes or the watch fails; cancel a call or delay that is in progress.

        Returns the error with which the watch ended, if any.
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
        """Watch the list at the current address until cancelled.

        After a failure, the watch continues from the known index.
        """
        loop = asyncio.get_running_loop()
        watch_timeout_ms = SHORT_WATCH_TIMEOUT_MS
        self._was_last_call_rejected = False
        try:
            while True:
                started_s = loop.time()
                try:
                    is_unchanged = await self._poll(watch_timeout_ms)
                except DiscoveryError as error:
                    delay_s = self._delay_after_failure_s(error, loop.time() - started_s)
                    watch_timeout_ms = SHORT_WATCH_TIMEOUT_MS
                else:
                    is_watch = is_unchanged and watch_timeout_ms > SHORT_WATCH_TIMEOUT_MS
                    is_immediate = is_watch and loop.time() - started_s < MIN_WATCH_INTERVAL_S
                    delay_s = MIN_WATCH_INTERVAL_S if is_immediate else 0.0
                    watch_timeout_ms = self._backoff.watch_timeout_ms()
                if delay_s:
                    await asyncio.sleep(delay_s)
        finally:
            self._client.close()

    async def _poll(self, watch_timeout_ms: int) -> bool:
        """Fetch and report one snapshot or incremental update.

        Returns whether the call was a watch that ended without a change.
        """
        index = self._index
        if index is None:
            endpoint_list = await self._fetch_list(ENDPOINT_LIST_PATH, CALL_TIMEOUT_S)
        else:
            timeout_s = max(CALL_TIMEOUT_S, watch_timeout_ms / 1000 + WATCH_GRACE_S)
            endpoint_list = await self._fetch_list(
                f"{ENDPOINT_LIST_PATH}?since={index}&timeout_ms={watch_timeout_ms}", timeout_s
            )
        if not endpoint_list.is_snapshot and (index is None or endpoint_list.index < index):
            expected = "a snapshot" if index is None else f"index {index} or higher"
            raise InvalidResponseError(
                f"unexpected incremental update with index {endpoint_list.index}, expected {expected}"
            )
        self._report_list(endpoint_list)
        self._index = endpoint_list.index
        self._backoff.on_success()
        self._was_last_call_rejected = False
        return index is not None and not endpoint_list.entries

    async def _fetch_list(self, target: str, timeout_s: float) -> EndpointList:
        return await self._client.fetch_list(target, timeout_s)

    def _report_list(self, endpoint_list: EndpointList) -> None:
        if endpoint_list.entries or endpoint_list.is_snapshot:
            now_s = asyncio.get_running_loop().time()
            self._on_list(self._drain_memory.reconcile(endpoint_list, now_s))
        self.list_received.set()
        self._is_failure_logged = False

    def _delay_after_failure_s(self, error: DiscoveryError, elapsed_s: float) -> float:
        """Record a failed call and return the delay in seconds before the next call.

        `elapsed_s` is the duration of the failed call in seconds.
        """
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
        self._was_last_call_rejected = not is_timeout
        return self._backoff.next_delay_s(reachable_s)

    def _may_have_been_reachable(self, elapsed_s: float) -> bool:
        """Return whether discovery may have been reachable since the start of a failed call.

        The call has failed for a reason other than a timeout. If True is returned, the next call is made
        earlier. The result is False in two cases. If the previous call was rejected as well, an earlier call
        gains nothing. If the call took longer than CALL_TIMEOUT_S, it was a watch, and its failure shows when
        discovery became unreachable.
        """
        return not self._was_last_call_rejected and elapsed_s <= CALL_TIMEOUT_S


def _max_backoff_s(drain_grace_s: float) -> float:
    """Return the maximum backoff in seconds for pushed lists.

    It is a fraction of the drain grace period, because this period elapses even while the gateway does not
    know that the endpoint is draining.
    """
    return max(INITIAL_BACKOFF_S, min(MAX_BACKOFF_S, drain_grace_s * MAX_DRAIN_GRACE_FRACTION))
