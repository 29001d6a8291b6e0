"""Tests of discovery: backoff."""

import asyncio
import bisect
import contextlib
import itertools
import random

import pytest
from support.discovery_scenarios import WATCH
from support.fakes import HOST

from gateway.config import EndpointList
from gateway.network.discovery.backoff import CallPace
from gateway.network.discovery.client import (
    DiscoveryError,
    DiscoveryOverloadedError,
    DiscoveryTimeoutError,
    InvalidAnswerError,
)
from gateway.network.discovery.watch import Discovery


def calls_of(monkeypatch, call, **more):
    """When a gateway calls, where `call(now_s, limit_s)` says what comes of each: an answer, or how it fails,
    and how long that takes. The time is the test's. Ends with the first answer after the first call."""
    at_s, begun_s, answered = [0.0], [], []

    async def sleep(seconds):
        at_s[0] += seconds

    async def called(_target, limit_s):
        begun_s.append(at_s[0])
        outcome, took_s = call(at_s[0], limit_s)
        at_s[0] += took_s
        if isinstance(outcome, Exception):
            raise outcome
        answered.append(at_s[0])
        if len(answered) == 2:
            raise asyncio.CancelledError
        return outcome

    async def scenario():
        discovery = Discovery((HOST, 9), print, 41, **more)
        discovery._call = called
        with monkeypatch.context() as patch:
            patch.setattr("gateway.network.discovery.watch.asyncio.sleep", sleep)
            patch.setattr(
                "gateway.network.discovery.watch.asyncio.get_running_loop",
                lambda: type("Loop", (), {"time": staticmethod(lambda: at_s[0])}),
            )
            await discovery._watch()

    with contextlib.suppress(asyncio.CancelledError):
        asyncio.run(scenario())
    return begun_s, answered


NEWS = EndpointList(41, False, ())


FAILURES = {  # and whether it takes as long as the caller waits
    "503": (DiscoveryOverloadedError("status 503"), False),
    "429 after 2 s": (DiscoveryOverloadedError("status 429"), 2.0),
    "reset": (DiscoveryError("the connection failed"), False),
    "unreadable": (InvalidAnswerError("no JSON"), False),
    "silence": (DiscoveryTimeoutError("no answer in time"), True),
}


@pytest.mark.parametrize("fleet", [1, 3, 40, 230])
def test_refused_fleet_spreads_its_retries(fleet, monkeypatch):
    """Seen in a fleet of 40: discovery served 2 to 7 calls a second and turned away who had waited for 2 s;
    13 calls a second kept it so for 30 s. Here all have had a list, and 0.5 s later none is served any more:
    how many of them call in any 0.5 s. Each may take 3.5 s at most, so a fleet can't call less than that."""

    def call(now_s, _limit_s):
        return (NEWS, 0.5) if not now_s or now_s > 30 else (DiscoveryOverloadedError("status 503"), 0.0)

    gateways = [calls_of(monkeypatch, call, fleet=fleet, seed=seed)[0][1:-1] for seed in range(fleet)]
    assert len({one[1] for one in gateways}) == fleet
    gaps = [b - a for one in gateways for a, b in itertools.pairwise(one)]
    if fleet <= 3:  # as ever: at once, and then at least every 0.75 s
        assert max(gaps) <= 0.75
    else:
        in_all = sorted(second for one in gateways for second in one[1:])
        most = max(bisect.bisect(in_all, second + 0.5) - n for n, second in enumerate(in_all))
        even = fleet * 0.5 / 3.15
        assert most <= even + 3 * even**0.5 and max(gaps) < 3.51
        assert len(in_all) <= fleet * 30 / 3.0


@pytest.mark.parametrize("fleet", [1, 40, 230])
def test_first_refused_call_counts_from_its_start(fleet, monkeypatch):
    """Discovery is back while it waits for its turn, has none for it after 2 s, and has one for the next."""
    for seed in range(0, fleet, max(1, fleet // 40)):
        turned = []

        def call(now_s, limit_s, turned=turned):
            if not now_s or turned:
                return NEWS, 2.0
            if now_s < 20:
                return FAILURES["silence"][0], limit_s
            turned.append(now_s)
            return FAILURES["503"][0], 2.0

        _, answered = calls_of(monkeypatch, call, fleet=fleet, seed=seed)
        assert answered[1] <= turned[0] + 6.0


@pytest.mark.parametrize("failure", FAILURES)
@pytest.mark.parametrize("pushed", [True, False])
@pytest.mark.parametrize("fleet", [1, 40, 230])
def test_change_is_applied_within_6_s_after_discovery_is_reachable(fleet, pushed, failure, monkeypatch):
    """Whatever the calls before came to, and however long discovery takes for its turn: 2 s at most. In a
    fleet of 230 the wait after a call that was turned away was up to 180 s."""
    problem, hangs = FAILURES[failure]
    for seed in range(0, fleet, max(1, fleet // 40)):
        back_s = random.Random(seed).uniform(1, 30)

        def call(now_s, limit_s, back_s=back_s):
            if not now_s:
                return NEWS, 0.5
            if now_s >= back_s:
                return NEWS, 0.01 if pushed else 2.0
            return problem, limit_s if hangs is True else float(hangs)

        begun_s, answered = calls_of(monkeypatch, call, fleet=fleet, seed=seed, pushed=pushed, grace_s=2.0)
        # The first of them is a watch that falls silent: it may go on for as long as it was to wait, and 2 s.
        # Who is refused again and again has discovery within reach from the last refusal on.
        silent_s = begun_s[2] - 1.02 if hangs is True else 0.0
        back_s = max(back_s, begun_s[-2] + hangs) if hangs == 2.0 else back_s
        assert answered[1] <= max(back_s + 6.0, silent_s + 2.0 + 2.2 * (not pushed)), (seed, back_s, begun_s)


@pytest.mark.parametrize("fleet", [1, 3, 40, 200])
@pytest.mark.parametrize("grace_s", [0.0, 0.25, 2.0])
async def test_broken_watch_of_pushed_lists_reopens_within_the_grace_period(fleet, grace_s, monkeypatch):
    """Seen in a fleet of 200: a watch that fell silent was given up after 41 s and opened anew up to 150 s
    later. What an agent on the own machine has counts as told, so nobody waits for the others there."""

    async def gateway(seed):
        failures = iter([DiscoveryError("the connection ended")] * 12)
        waits, targets = [], []

        async def sleep(seconds):
            waits.append(seconds)

        async def call(target, _limit_s):
            targets.append(target)
            if len(targets) == 1:
                return EndpointList(41, False, ())
            raise next(failures, asyncio.CancelledError())

        discovery = Discovery((HOST, 9), print, 41, fleet=fleet, seed=seed, pushed=True, grace_s=grace_s)
        discovery._call = call
        with monkeypatch.context() as patch:
            patch.setattr("gateway.network.discovery.watch.asyncio.sleep", sleep)
            await asyncio.gather(discovery._watch(), return_exceptions=True)
        assert targets[1] == WATCH.format(41)
        assert len(waits) == 12 and waits[0] < 0.05 and max(waits) < max(0.05, grace_s / 2)
        assert min(waits) >= 0.01  # but it does not call without end

    for seed in range(fleet):
        await gateway(seed)


def test_refusal_shows_that_discovery_is_shared():
    pace = CallPace(40, random.Random(1), alone=True)
    alone = max(pace.after_failure_s() for _ in range(20)), pace.watch_ms()
    pace.on_overload()
    assert alone == (pytest.approx(0.5, abs=0.25), 5000)
    assert max(pace.after_failure_s() for _ in range(20)) > 3 and pace.watch_ms() == 40_000


def test_first_retry_after_a_start_comes_sooner():
    """Its list may be an old one, and the others have theirs."""
    started, settled = (
        [CallPace(14, random.Random(seed)) for seed in range(40)],
        [CallPace(14, random.Random(seed)) for seed in range(40)],
    )
    for pace in settled:
        pace.on_answer()
    first, later = [one.after_failure_s() for one in started], [one.after_failure_s() for one in settled]
    assert sum(first) < 0.7 * sum(later) and max(first) < 2.3 and max(later) <= 3.5
