"""Tests of the delays between calls of discovery when calls fail."""

import asyncio
import bisect
import itertools
import random

import pytest
from support.addresses import HOST
from support.fake_discovery import WATCH_TARGET
from support.simulated_watch import FIRST_INDEX, UNCHANGED, CallOutcome, simulate_watch

from gateway.network.discovery.backoff import DiscoveryBackoff
from gateway.network.discovery.client import (
    DiscoveryError,
    DiscoveryOverloadedError,
    DiscoveryTimeoutError,
    InvalidResponseError,
)
from gateway.network.discovery.watch import EndpointWatch

OVERLOADED = DiscoveryOverloadedError("status 503")
TIMED_OUT = DiscoveryTimeoutError("no answer in time")
UNTIL_TIMEOUT = None  # in place of the duration of a call that gets no response
FAILURES = {  # the error of a failed call and the duration of the call in seconds
    "503": (OVERLOADED, 0.0),
    "429 after 2 s": (DiscoveryOverloadedError("status 429"), 2.0),
    "reset": (DiscoveryError("the connection failed"), 0.0),
    "unreadable": (InvalidResponseError("no JSON"), 0.0),
    "silence": (TIMED_OUT, UNTIL_TIMEOUT),
}


def sampled_seeds(fleet):
    """Return the seeds of a sample of about 40 gateways of a fleet, or of all gateways of a smaller fleet."""
    return range(0, fleet, max(1, fleet // 40))


def overloaded_for_30_s(now_s, _timeout_s):
    """Serve the first call, reject all calls in the following 30 s, and serve later calls."""
    if not now_s or now_s > 30:
        return CallOutcome(UNCHANGED, 0.5)
    return CallOutcome(OVERLOADED, 0.0)


@pytest.mark.parametrize("fleet", [1, 3, 40, 230])
def test_fleet_rejected_for_overload_spreads_its_retries(fleet, monkeypatch):
    """No interval of 0.5 s contains many more retries of a large fleet than an even distribution would."""
    watches = [
        simulate_watch(monkeypatch, overloaded_for_30_s, fleet_size=fleet, seed=seed) for seed in range(fleet)
    ]
    calls_s = [watch.call_starts_s[1:-1] for watch in watches]
    assert len({calls[1] for calls in calls_s}) == fleet
    gaps_s = [after - before for calls in calls_s for before, after in itertools.pairwise(calls)]
    if fleet <= 3:
        assert max(gaps_s) <= 0.75
        return
    retries_s = sorted(at_s for calls in calls_s for at_s in calls[1:])
    most = max(bisect.bisect(retries_s, at_s + 0.5) - n for n, at_s in enumerate(retries_s))
    even = fleet * 0.5 / 3.15
    assert most <= even + 3 * even**0.5 and max(gaps_s) < 3.51
    assert len(retries_s) <= fleet * 30 / 3.0


@pytest.mark.parametrize("fleet", [1, 40, 230])
def test_next_success_follows_within_6_s_of_the_start_of_a_rejected_call(fleet, monkeypatch):
    """After 20 s without a response, discovery rejects one call after 2 s and serves the next call."""
    for seed in sampled_seeds(fleet):
        rejected_s = []

        def respond(now_s, timeout_s, rejected_s=rejected_s):
            if not now_s or rejected_s:
                return CallOutcome(UNCHANGED, 2.0)
            if now_s < 20:
                return CallOutcome(TIMED_OUT, timeout_s)
            rejected_s.append(now_s)
            return CallOutcome(OVERLOADED, 2.0)

        watch = simulate_watch(monkeypatch, respond, fleet_size=fleet, seed=seed)
        assert watch.success_ends_s[1] <= rejected_s[0] + 6.0


@pytest.mark.parametrize("failure", FAILURES)
@pytest.mark.parametrize("pushed", [True, False])
@pytest.mark.parametrize("fleet", [1, 40, 230])
def test_change_is_applied_within_6_s_after_discovery_is_reachable(fleet, pushed, failure, monkeypatch):
    """The preceding calls fail in each possible way, and a shared discovery takes 2 s for a response."""
    error, duration_s = FAILURES[failure]
    for seed in sampled_seeds(fleet):
        reachable_from_s = random.Random(seed).uniform(1, 30)

        def respond(now_s, timeout_s, reachable_from_s=reachable_from_s):
            if not now_s:
                return CallOutcome(UNCHANGED, 0.5)
            if now_s >= reachable_from_s:
                return CallOutcome(UNCHANGED, 0.01 if pushed else 2.0)
            return CallOutcome(error, timeout_s if duration_s is UNTIL_TIMEOUT else duration_s)

        watch = simulate_watch(
            monkeypatch, respond, fleet_size=fleet, seed=seed, is_pushed=pushed, drain_grace_s=2.0
        )
        # The first call without a response is a watch, which fails after its timeout and up to 2 s more.
        silent_s = watch.call_starts_s[2] - 1.02 if duration_s is UNTIL_TIMEOUT else 0.0
        # If discovery takes 2 s to reject a call, it counts as reachable from the end of its last rejection.
        reachable_s = (
            max(reachable_from_s, watch.call_starts_s[-2] + duration_s) if duration_s else reachable_from_s
        )
        latest_s = max(reachable_s + 6.0, silent_s + 2.0 + 2.2 * (not pushed))
        assert watch.success_ends_s[1] <= latest_s, (seed, reachable_s, watch.call_starts_s)


async def run_failing_watch(monkeypatch, **options):
    """Run a watch whose first call succeeds and whose next 12 calls fail; return its targets and delays."""
    results = iter([UNCHANGED, *[DiscoveryError("the connection ended")] * 12, asyncio.CancelledError()])
    targets = []
    delays_s = []

    async def sleep(seconds):
        delays_s.append(seconds)

    async def call(target, _timeout_s):
        targets.append(target)
        result = next(results)
        if isinstance(result, BaseException):
            raise result
        return result

    watch = EndpointWatch((HOST, 9), print, FIRST_INDEX, **options)
    watch._fetch_list = call
    with monkeypatch.context() as patch:
        patch.setattr("gateway.network.discovery.watch.asyncio.sleep", sleep)
        await asyncio.gather(watch._watch(), return_exceptions=True)
    return targets, delays_s


@pytest.mark.parametrize("fleet", [1, 3, 40, 200])
@pytest.mark.parametrize("grace_s", [0.0, 0.25, 2.0])
async def test_broken_watch_of_pushed_lists_reopens_within_the_grace_period(fleet, grace_s, monkeypatch):
    for seed in range(fleet):
        targets, delays_s = await run_failing_watch(
            monkeypatch, fleet_size=fleet, seed=seed, is_pushed=True, drain_grace_s=grace_s
        )
        assert targets[1] == WATCH_TARGET.format(41)
        assert len(delays_s) == 12 and delays_s[0] < 0.05
        assert max(delays_s) < max(0.05, grace_s / 2)
        assert min(delays_s) >= 0.01


def test_overload_makes_an_only_caller_spread_its_retries():
    backoff = DiscoveryBackoff(40, random.Random(1), is_only_caller=True)
    longest_s = max(backoff.next_delay_s() for _ in range(20))
    assert (longest_s, backoff.watch_timeout_ms()) == (pytest.approx(0.5, abs=0.25), 5000)
    backoff.on_overload()
    longest_s = max(backoff.next_delay_s() for _ in range(20))
    assert longest_s > 3 and backoff.watch_timeout_ms() == 40_000


def test_first_retry_after_startup_is_made_sooner():
    """The endpoint list of a gateway that has just started may be outdated."""
    started = [DiscoveryBackoff(14, random.Random(seed)) for seed in range(40)]
    settled = [DiscoveryBackoff(14, random.Random(seed)) for seed in range(40)]
    for backoff in settled:
        backoff.on_success()
    first_s = [backoff.next_delay_s() for backoff in started]
    later_s = [backoff.next_delay_s() for backoff in settled]
    assert sum(first_s) < 0.7 * sum(later_s) and max(first_s) < 2.3 and max(later_s) <= 3.5
