"""A gateway's watch of the endpoint list, on a simulated clock and with a simulated discovery service."""

import asyncio
import contextlib
from typing import NamedTuple

from gateway.config import EndpointList
from gateway.network.discovery.watch import EndpointWatch
from support.addresses import HOST

FIRST_INDEX = 41  # index of the configured endpoint list, from which the watch starts
UNCHANGED = EndpointList(FIRST_INDEX, False, ())  # discovery's response if the list has not changed


class CallOutcome(NamedTuple):
    """The result of a call to discovery, an endpoint list or an error, and the duration of the call."""

    result: EndpointList | Exception
    duration_s: float


class SimulatedWatch:
    """A watch whose calls to discovery are answered by the function `respond`.

    For each call, `respond` receives the simulated time and the timeout of the call, both in seconds, and
    returns a `CallOutcome`. The watch ends with the second successful call.
    """

    def __init__(self, respond):
        self.respond = respond
        self.now_s = 0.0
        self.call_starts_s = []  # times at which calls start, successful or not
        self.success_ends_s = []  # times at which successful calls end

    def time(self):
        """Return the simulated time in seconds, in place of the event loop's `time`."""
        return self.now_s

    async def sleep(self, seconds):
        """Advance the simulated time, in place of `asyncio.sleep`."""
        self.now_s += seconds

    async def fetch_list(self, _target, timeout_s):
        """Return or raise the result of `respond`, in place of `EndpointWatch._fetch_list`."""
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
        """Run a watch with these options of `EndpointWatch` until its second successful call."""
        watch = EndpointWatch((HOST, 9), print, FIRST_INDEX, **options)
        watch._fetch_list = self.fetch_list
        with monkeypatch.context() as patch:
            patch.setattr("gateway.network.discovery.watch.asyncio.sleep", self.sleep)
            patch.setattr("gateway.network.discovery.watch.asyncio.get_running_loop", lambda: self)
            with contextlib.suppress(asyncio.CancelledError):
                await watch._watch()


def simulate_watch(monkeypatch, respond, **options):
    """Run a watch with these options of `EndpointWatch` until its second successful call.

    Returns the `SimulatedWatch`, which lists the times of the calls.
    """
    watch = SimulatedWatch(respond)
    asyncio.run(watch.run(monkeypatch, **options))
    return watch
