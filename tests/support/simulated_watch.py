"""The gateway's watch at discovery on a simulated clock."""

import asyncio
import contextlib
from typing import NamedTuple

from gateway.config import EndpointList
from gateway.network.discovery.watch import EndpointWatch
from support.addresses import HOST

FIRST_INDEX = 41  # of the configured list
UNCHANGED = EndpointList(FIRST_INDEX, False, ())


class CallOutcome(NamedTuple):
    """What a call comes to, a list or an error, and how long it takes."""

    result: EndpointList | Exception
    duration_s: float


class SimulatedWatch:
    """A gateway's calls at a discovery service that a function stands for.

    The function takes the time and the call's timeout in seconds, and returns a `CallOutcome`. The watch
    ends with the first success after the first call.
    """

    def __init__(self, respond):
        self.respond = respond
        self.now_s = 0.0
        self.call_starts_s = []  # of all calls
        self.success_ends_s = []  # ends of the successful calls

    def time(self):
        """Return the simulated time, as an event loop does."""
        return self.now_s

    async def sleep(self, seconds):
        """Let simulated time pass."""
        self.now_s += seconds

    async def call(self, _target, timeout_s):
        """Stand for a call at the discovery service."""
        self.call_starts_s.append(self.now_s)
        outcome = self.respond(self.now_s, timeout_s)
        self.now_s += outcome.duration_s
        if isinstance(outcome.result, Exception):
            raise outcome.result
        self.success_ends_s.append(self.now_s)
        if len(self.success_ends_s) == 2:
            raise asyncio.CancelledError
        return outcome.result

    async def run(self, monkeypatch, **options):
        """Run the watch to its end."""
        watch = EndpointWatch((HOST, 9), print, FIRST_INDEX, **options)
        watch._fetch_list = self.call
        with monkeypatch.context() as patch:
            patch.setattr("gateway.network.discovery.watch.asyncio.sleep", self.sleep)
            patch.setattr("gateway.network.discovery.watch.asyncio.get_running_loop", lambda: self)
            with contextlib.suppress(asyncio.CancelledError):
                await watch._watch()


def simulate_watch(monkeypatch, respond, **options):
    """Run a watch with these options of `EndpointWatch`, and return it when it has ended."""
    watch = SimulatedWatch(respond)
    asyncio.run(watch.run(monkeypatch, **options))
    return watch
