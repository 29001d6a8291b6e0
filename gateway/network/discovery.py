"""Discovery: a list to begin with, then a watch for changes, for as long as the gateway runs.

Where lists are pushed, the address is taken for an agent's of this gateway's own, which answers at once
and at no cost; where they are asked for, or callers are turned away, for one service of the whole fleet.
"""

from __future__ import annotations

import asyncio
import json
import logging
import math
import random
from collections.abc import Callable
from dataclasses import replace

import httptools

from gateway.config import Address, EndpointList, endpoint_list_from
from gateway.errors import SettingsError
from gateway.model.events import EndpointState

PATH = "/discovery/hosts"
CONNECT_TIMEOUT_S = 1.0  # to connect
# A change counts as told 6 s after discovery has it and can be reached, whatever went before: a call that
# fails, the wait after it, and the next call take less in sum.
FRESHNESS_S = 5.7
CALL_TIMEOUT_S = 2.2  # for an answer without a watch: calls wait their turn, for 2 s at most
WATCH_MS, WATCH_SPARE_S = 5000, 1.0  # a watch waits so long; one that is so much late is broken
FIRST_WAIT_S, MAX_WAIT_S = 0.02, 0.5  # between calls that fail; it doubles up to the bound
GRACE_PART = 0.25  # or, where lists are pushed, up to so much of the grace after word of a drain
SMALL_FLEET, MAX_WATCH_FACTOR = (
    5,
    8.0,
)  # with more callers a watch is longer in proportion, up to so many times
# With more callers each calls again within so long for each further one, up to the most; with no answer since
# its start, whose list may be old, at first within less.
CALM_SPREAD_S, HURRIED_SPREAD_S = 0.8, 0.25
MIN_GAP_S = 0.05  # between answers that bring nothing, should they come at once
DRAIN_MEMORY_S = 120.0  # so long the word of a drain is kept against an older list
MAX_ANSWER = 8 * 1024 * 1024

log = logging.getLogger(__name__)


class DiscoveryError(Exception):
    """A call of discovery came to nothing; the text tells why."""


class DiscoveryTimeout(DiscoveryError):
    """Nothing came in time, so it may have been within reach all that time."""


class DiscoveryOverloaded(DiscoveryError):
    """Too many call at once."""


class InvalidDiscoveryAnswer(DiscoveryError):
    """What came cannot be relied on, nor the version that it was asked with."""


class _Answer:
    """What the parser of an answer collects."""

    def __init__(self) -> None:
        self.parts: list[bytes] = []
        self.complete = self.keep = False
        self.parser = httptools.HttpResponseParser(self)

    def on_body(self, part: bytes) -> None:
        self.parts.append(part)

    def on_message_complete(self) -> None:
        self.complete = True
        self.keep = self.parser.should_keep_alive()  # the parser knows this here and no later


class CallPace:
    """When to call, so that a large fleet does not call a service that all share all at once.

    Such a service answers one call after the other and turns away who has waited 2 s, but has the work of it
    all the same. So once more calls come than it serves, all of them wait in vain, and go on doing so until
    they become fewer. Of an agent we are the only caller: what it has counts as told to us, heard or not, so
    waiting for the sake of others gains nothing and is paid for with an old list.

    Chance spreads the first calls after a failure over the time there is. Those after them come at about the
    end of it: that keeps the gateways apart, and makes the fewest calls.
    """

    def __init__(
        self, fleet: int, rng: random.Random, *, alone: bool = False, most_wait_s: float = MAX_WAIT_S
    ) -> None:
        self._fleet, self._rng, self._most_wait_s = fleet, rng, most_wait_s
        self._callers, self._failures, self._each_s = 1 if alone else fleet, 0, HURRIED_SPREAD_S

    def worked(self) -> None:
        """A call has been answered: from now on a list is known that is not old."""
        self._failures, self._each_s = 0, CALM_SPREAD_S

    def was_rejected(self) -> None:
        """There are too many callers, so we were not the only one."""
        self._callers = self._fleet

    def watch_ms(self) -> int:
        """How long a watch may wait for news."""
        return int(WATCH_MS * min(MAX_WATCH_FACTOR, max(1.0, self._callers / SMALL_FLEET)))

    def after_failure_s(self, took_s: float = 0.0) -> float:
        """To wait before the next call, after one that took so long to fail."""
        most_s, first = max(FIRST_WAIT_S, FRESHNESS_S - CALL_TIMEOUT_S - took_s), not self._failures
        times, self._failures = 2.0 ** min(self._failures, 10), self._failures + 1
        spread_s = min(most_s, min(CALM_SPREAD_S, self._each_s * times) * max(0, self._callers - SMALL_FLEET))
        wait_s = min(self._most_wait_s, FIRST_WAIT_S * times) * self._rng.uniform(0.5, 1.5)
        return min(most_s, wait_s + spread_s * self._rng.uniform(0.0 if first else 0.8, 1.0))


class Discovery:
    """Watches the list of endpoints and passes on all that it is told."""

    def __init__(
        self,
        address: Address,
        told: Callable[[EndpointList], None],
        known: int | None = None,
        *,
        fleet: int = 1,
        seed: int | None = None,
        pushed: bool = False,
        grace_s: float = math.inf,
    ) -> None:
        self._address, self._told = address, told
        self._index = known  # version of the list that is known; None: the whole list is asked for
        # An agent that is back has news that binds: it is not left uncalled for longer than is allowed then.
        most_wait_s = max(FIRST_WAIT_S, min(MAX_WAIT_S, grace_s * GRACE_PART)) if pushed else MAX_WAIT_S
        self._pace = CallPace(fleet, random.Random(seed), alone=pushed, most_wait_s=most_wait_s)
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._quiet = False  # a failure has been logged, and no success since
        self._skipped = False  # an entry that cannot be read has been logged
        self._newest = 0 if known is None else known  # version of what has been told, at any address
        self._ready: dict[str, float] = {}  # endpoints by that, with their starts
        self._left: dict[str, tuple[float, float]] = {}  # those that want nothing new, and when it was told
        self._moved = asyncio.Event()
        self.listed = asyncio.Event()  # the first answer has come

    def move(self, address: Address) -> None:
        """From now on ask at another address, beginning with its whole list."""
        if address != self._address:
            self._address, self._quiet, self._index = address, False, None
            self._moved.set()

    async def run(self) -> None:
        """Watch until cancelled, anew whenever the address moves: whatever is under way at the old one, be
        it a call, a connection that does not come up or a wait, is dropped at once.
        """
        while True:
            self._moved.clear()
            watch, moved = asyncio.create_task(self._watch()), asyncio.create_task(self._moved.wait())
            try:
                await asyncio.wait((watch, moved), return_when=asyncio.FIRST_COMPLETED)
            finally:
                for task in (watch, moved):
                    task.cancel()
                ended, _ = await asyncio.gather(watch, moved, return_exceptions=True)
            if not self._moved.is_set():  # a fault of ours must not end the watch for good
                log.error("the watch of discovery failed", exc_info=ended)
                await asyncio.sleep(MAX_WAIT_S)

    async def _watch(self) -> None:
        """Ask and watch at one address. After a failure it goes on from the version that is known."""
        loop = asyncio.get_running_loop()
        watch_ms = 1  # of the first call, whose answer is waited for, and of the first after a failure
        refused = False  # the call before was turned away, or broke
        try:
            while True:
                index, asked_s = self._index, loop.time()
                try:
                    if index is None:
                        endpoint_list = await self._call(PATH, CALL_TIMEOUT_S)
                    else:
                        limit_s = max(CALL_TIMEOUT_S, watch_ms / 1000 + WATCH_SPARE_S)
                        endpoint_list = await self._call(
                            f"{PATH}?since={index}&timeout_ms={watch_ms}", limit_s
                        )
                    if not endpoint_list.is_snapshot and (index is None or endpoint_list.index < index):
                        raise InvalidDiscoveryAnswer(
                            "a change where the whole list was due, or the version went back"
                        )
                    self._take(endpoint_list)
                    self._index = endpoint_list.index
                    self._pace.worked()
                    refused = False
                    if (
                        index is not None
                        and watch_ms > 1
                        and not endpoint_list.entries
                        and loop.time() - asked_s < MIN_GAP_S
                    ):
                        await asyncio.sleep(MIN_GAP_S)
                    watch_ms = self._pace.watch_ms()
                except DiscoveryError as problem:
                    self._hang_up()
                    if not self._quiet:
                        log.warning("discovery: %s", problem)
                    self._quiet = True
                    watch_ms = 1  # one that waits for news could hang for long before that is noticed
                    if isinstance(problem, DiscoveryOverloaded):
                        self._pace.was_rejected()
                    elif isinstance(problem, InvalidDiscoveryAnswer):
                        self._index = None
                    # Discovery may have come back at any time in a call that was not answered, or was the
                    # first to be refused. Where it refuses again, it serves nobody sooner for being called
                    # more. And a watch lasts for long, but a break tells its end.
                    took_s, silent = loop.time() - asked_s, isinstance(problem, DiscoveryTimeout)
                    late = silent or (not refused and took_s <= CALL_TIMEOUT_S)
                    refused = not silent
                    await asyncio.sleep(self._pace.after_failure_s(took_s if late else 0.0))
        finally:
            self._hang_up()

    def _take(self, endpoint_list: EndpointList) -> None:
        if endpoint_list.entries or endpoint_list.is_snapshot:
            self._told(self._as_told_before(endpoint_list))
        self.listed.set()
        self._quiet = False

    def _as_told_before(self, endpoint_list: EndpointList) -> EndpointList:
        """A whole list that is older than what has been told, as another address may have it, says nothing of
        what has come since: an endpoint that wanted nothing new by then is not ready again by it.
        """
        now = asyncio.get_running_loop().time()
        if endpoint_list.is_snapshot and endpoint_list.index < self._newest:
            endpoint_list = replace(
                endpoint_list,
                entries=tuple(
                    replace(entry, endpoint=replace(entry.endpoint, state=EndpointState.DRAINING))
                    if entry.endpoint.state is EndpointState.READY
                    and entry.endpoint.id in self._left
                    and self._left[entry.endpoint.id][0] == entry.endpoint.started_ms
                    else entry
                    for entry in endpoint_list.entries
                ),
            )
        elif endpoint_list.is_snapshot:
            self._newest = endpoint_list.index
            for name in self._ready.keys() - {entry.endpoint.id for entry in endpoint_list.entries}:
                self._left[name] = self._ready.pop(name), now
        else:
            self._newest = max(self._newest, endpoint_list.index)
        for server in [entry.endpoint for entry in endpoint_list.entries]:
            if server.state is EndpointState.READY:
                self._ready[server.id] = server.started_ms
                self._left.pop(server.id, None)
            else:
                self._ready.pop(server.id, None)
                self._left[server.id] = server.started_ms, now
        self._left = {
            name: (started_ms, at_s)
            for name, (started_ms, at_s) in self._left.items()
            if now - at_s < DRAIN_MEMORY_S
        }
        return endpoint_list

    def _skip(self, problem: SettingsError) -> None:
        """One entry that cannot be read is no reason to do without the others."""
        if not self._skipped:
            log.warning("discovery: left out: %s", problem)
        self._skipped = True

    async def _call(self, target: str, limit_s: float) -> EndpointList:
        try:
            async with asyncio.timeout(limit_s):
                return endpoint_list_from(json.loads(await self._get(target)), "list", self._skip)
        except TimeoutError as problem:
            raise DiscoveryTimeout("no answer in time") from problem
        except SettingsError as problem:
            raise InvalidDiscoveryAnswer(str(problem)) from problem
        except (ValueError, RecursionError) as problem:
            raise InvalidDiscoveryAnswer("an answer that is no JSON") from problem
        except httptools.HttpParserError as problem:
            raise InvalidDiscoveryAnswer("an answer that is no HTTP") from problem
        except OSError as problem:
            raise DiscoveryError(f"the connection failed: {problem}") from problem

    async def _get(self, target: str) -> bytes:
        if self._writer is None:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                self._reader, self._writer = await asyncio.open_connection(*self._address)
        assert self._reader is not None
        host = f"{self._address[0]}:{self._address[1]}"
        self._writer.write(f"GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
        answer = _Answer()
        size = 0
        while not answer.complete:
            data = await self._reader.read(64 * 1024)
            size += len(data)
            if not data:
                raise DiscoveryError("the connection ended")
            if size > MAX_ANSWER:
                raise InvalidDiscoveryAnswer("an answer without end")
            answer.parser.feed_data(data)
        status = answer.parser.get_status_code()
        if status != 200:  # turned away, or not understood
            raise (DiscoveryOverloaded if status in (429, 503) else InvalidDiscoveryAnswer)(
                f"status {status}"
            )
        if not answer.keep:
            self._hang_up()
        return b"".join(answer.parts)

    def _hang_up(self) -> None:
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None
