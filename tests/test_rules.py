"""Seeded random event sequences against the module, with an independent check of the five rules."""

import heapq
import itertools
import math
import random
from dataclasses import replace

import pytest
from support.policy_settings import TICK, settings
from support.simulated_fleet import Town

from gateway.interface.actions import Reject, SendAttempt, SendGossip, SetTimer
from gateway.interface.events import (
    AttemptEnded,
    AttemptResult,
    Endpoint,
    EndpointState,
    EndpointUpdate,
    GossipReceived,
    RequestArrived,
    TimerFired,
)
from gateway.interface.settings import Idempotency, Plan, RequestClass
from gateway.policy.controller import Controller


@pytest.mark.parametrize("seed", range(6))
def test_rules_hold_over_random_days(seed):
    town = Town(seed, gateways=2 + seed % 3, loss=(0.1, 0.5, 1.0)[seed % 3])
    town.run(20_000)
    assert len(town.checker.done) > 1000
    assert sum(len(sent) > 1 for sent in town.checker.sent.values()) > 20


@pytest.mark.parametrize("seed", range(3))
def test_nothing_is_sent_on_for_a_client_that_has_left(seed):
    """The checker raises where a request goes out after its end: held, asked for at a home, or to be tried
    again."""
    town = Town(seed, rate=400, leave=0.5)
    town.run(10_000)
    assert town.left_waiting > 100


RESERVED_DESCRIPTORS = (
    dict(
        plans=(Plan("both", 6, 12, 2, 1.4, 0.8, 0.2), Plan("open", max_in_flight=3, overage_weight=0.5)),
        gossip_inbox_per_s=3,
        max_attempts=2,
        may_hedge=False,
        max_retry_after_ms=0.0,
    ),
    dict(
        plans=(Plan("free"), Plan("capped", 3, 9, 0, 1.0, 0.2, 1.0, 6, 18, 4)),
        may_cancel=False,
        max_attempts=1,
        post_paid=False,
    ),
    dict(
        plans=(Plan("rated", 2, 8, overage_weight=0.9),),
        may_gossip=False,
        slow_start_ms=0.0,
        report_fields=(),
    ),
)


@pytest.mark.parametrize("more", RESERVED_DESCRIPTORS)
def test_rules_hold_with_the_settings_of_others(more):
    """Without faults of the module, too: each of these is a turn whose request waits for its guard."""
    town = Town(5, rate=400, **more)
    town.run(8000)
    assert len(town.checker.done) > 2000


def test_rules_hold_when_gateways_die_all_the_time():
    town = Town(99, kill=0.01, rate=300)
    town.run(15_000)
    assert max(town.life.values()) > 5


def test_same_events_give_same_actions():
    first, second = Town(7), Town(7)
    first.run(4000)
    second.run(4000)
    assert first.log == second.log


@pytest.mark.parametrize("seed", range(3))
def test_cold_endpoint_gets_no_more_than_its_warmth_allows(seed):
    """Rule 4: a server that starts is sent less than a warm one, by all gateways together, from the start."""
    rng = random.Random(seed)
    gateways = {n: Controller(settings(number=n), rng.randrange(1 << 30)) for n in range(3)}
    now, serial, sends, outs = 50_000.0, 0, [], []
    fleet = [Endpoint(f"s{n}", "z0", 0, EndpointState.READY) for n in range(5)]
    cold = Endpoint("cold", "z0", 0, EndpointState.READY, 1.0, 52_000.0)
    while now < 56_000:
        now += TICK
        for n, controller in gateways.items():
            events = []
            if now == 50_004.0:
                events.append(EndpointUpdate(tuple(fleet)))
            if now == 52_000.0:
                events.append(EndpointUpdate((cold,), is_snapshot=False))
            if rng.random() < 0.12:
                serial += 1
                events.append(
                    RequestArrived(serial, f"c{serial % 400}", "look", "rated", now + 1500, 1, 0, 3)
                )
            while outs and outs[0][0] <= now and outs[0][1] == n:
                _, _, number, server = heapq.heappop(outs)
                events.append(AttemptEnded(number, 0, server, 120.0, AttemptResult.OK, True))
            for action in controller.handle(now, events):
                if isinstance(action, SendAttempt):
                    sends.append((now, action.endpoint))
                    heapq.heappush(outs, (now + 120, n, action.id, action.endpoint))
        outs.sort()
    for start in range(52_000, 54_500, 100):
        window = [server for at, server in sends if start <= at < start + 1500]
        share = 0.25 + 0.75 * (start + 1500 - 52_000) / 8000
        warm = sum(server != "cold" for server in window) / 5
        assert window.count("cold") <= share * warm * 1.5 + 3


def cold_load(gateways, seed, warm, known, start_spread_ms=0.0, servers=20, calls_per_s=30.0):
    """How far the calls that reach a cold server in any window of the settings are, at the most, beyond what
    they allow it then and what chance may add. Of the servers `warm` are; the others start at once, and the
    fleet is in full use. The gateways start with them, or have `known` the fleet of before for 2 s. Of the
    attempts one of six fails, and of the others one of ten takes long enough for a second copy."""
    rng, order = random.Random(seed), itertools.count()
    config = settings(
        gateways=gateways,
        plans=(Plan("free"),),
        classes=(RequestClass("look", 4000, 15_000, 2, Idempotency.IDEMPOTENT),),
    )
    town = {n: Controller(replace(config, number=n), rng.randrange(1 << 30)) for n in range(gateways)}
    now = begin = 50_000.0
    start = begin + 2000 * known
    before = [Endpoint(f"s{n}", "z0", 0, EndpointState.READY) for n in range(servers)]
    after = [server if n < warm else replace(server, started_ms=start) for n, server in enumerate(before)]
    later, sent, serial = [], {server.id: [] for server in after[warm:]}, 0
    for n in town:
        heapq.heappush(later, (begin, next(order), n, EndpointUpdate(tuple(before if known else after))))
        if known:
            learned = start + rng.uniform(0, start_spread_ms)
            heapq.heappush(later, (learned, next(order), n, EndpointUpdate(tuple(after))))
    while now < start + 2400:
        now += TICK
        inbox = {}
        if rng.random() < servers * calls_per_s * TICK / 1000 / 3:
            for _ in range(3):
                serial += 1
                inbox.setdefault(rng.randrange(gateways), []).append(
                    RequestArrived(
                        serial, f"{serial % 97:016x}", "look", "free", now + 15_000, 1, 0, gateways
                    )
                )
        while later and later[0][0] <= now:
            _, _, gateway, event = heapq.heappop(later)
            inbox.setdefault(gateway, []).append(event)
        for n, events in inbox.items():
            for action in town[n].handle(now, events):
                if isinstance(action, SendAttempt):
                    if now >= start and action.endpoint in sent:
                        sent[action.endpoint].append(now)
                    attempt = (
                        town[n].flow.open[action.id].attempts - 1 if action.id in town[n].flow.open else 0
                    )
                    result = AttemptResult.ERROR if rng.random() < 1 / 6 else AttemptResult.OK
                    took = 20.0 if result is AttemptResult.ERROR else 900.0 if rng.random() < 0.1 else 70.0
                    heapq.heappush(
                        later,
                        (
                            now + took,
                            next(order),
                            n,
                            AttemptEnded(
                                action.id, attempt, action.endpoint, took, result, result is AttemptResult.OK
                            ),
                        ),
                    )
                elif isinstance(action, SetTimer):
                    heapq.heappush(
                        later, (now + max(1.0, action.after_ms), next(order), n, TimerFired("agenda"))
                    )
    beyond = -math.inf
    for times in sent.values():
        for first, since in enumerate(times):
            count = sum(at < since + config.overload_window_ms for at in times[first:])
            warmth = (
                config.slow_start_floor
                + (1 - config.slow_start_floor) * (since - start) / config.slow_start_ms
            )
            allowed = config.overload_multiple * warmth * calls_per_s * config.overload_window_ms / 1000
            beyond = max(beyond, count - (allowed + 2 * allowed**0.5 + 2))
    assert sum(map(len, sent.values()))  # a cold server has to be tried, or it never serves
    return beyond


@pytest.mark.parametrize("gateways", [1, 3, 30, 230])
@pytest.mark.parametrize(("warm", "known"), [(19, True), (8, True), (8, False), (0, True), (0, False)])
def test_the_sum_of_all_gateways_does_not_push_a_cold_endpoint_over(gateways, warm, known):
    """Where all servers were cold, gateways that had just started sent them all there was, and requests that
    were held tried for a cold server once a second each."""
    assert cold_load(gateways, 2, warm, known) <= 0


def beyond_quotas(gateways, seed, ms=9000, customers=40):
    """The share of the units sent on that are beyond quotas, and of the tries refused of customers inside
    theirs. Every eighth customer asks for three times its quota, some for nearly all, others for a third."""
    rng, plan, order = random.Random(seed), Plan("rated", 4, 12), itertools.count()
    look = RequestClass("look", 600, 1500, 2, Idempotency.IDEMPOTENT)
    config = dict(gateways=gateways, plans=(plan,), classes=(look,))
    town = {n: Controller(settings(number=n, **config), rng.randrange(1 << 30)) for n in range(gateways)}
    inbox = {
        n: [EndpointUpdate(tuple(Endpoint(f"s{n}", "z0", 0, EndpointState.READY) for n in range(20)))]
        for n in town
    }
    use = [3.0 if n % 8 == 0 else 0.9 if n % 8 == 1 else 0.33 for n in range(customers)]
    asked, stores, later, serial = {}, {}, [], 0
    sent = beyond = quiet = refused = 0
    now, begin = 1000.0, 1000.0
    while now < begin + ms:
        now += TICK
        for number in (
            rng.choices(range(customers), use, k=1)
            if rng.random() < (sum(use) * plan.rate_per_s * TICK / 1000)
            else ()
        ):
            serial += 1
            # The requests of a customer come unevenly over its set, which is half of the fleet.
            place = int(rng.random() ** 2 * max(2, gateways // 2))
            asked[serial] = number
            quiet += use[number] < 1
            inbox[(number + place) % gateways].append(
                RequestArrived(
                    serial,
                    f"{number:016x}",
                    "look",
                    "rated",
                    now + 1500,
                    1,
                    number % gateways,
                    max(2, gateways // 2),
                )
            )
        while later and later[0][0] <= now:
            _, _, gateway, event = heapq.heappop(later)
            inbox[gateway].append(event)
        for n in [n for n, events in inbox.items() if events]:
            events, inbox[n] = inbox[n], []
            for action in town[n].handle(now, events):
                delay, event, receiver = 0.0, None, n
                if isinstance(action, SendAttempt):
                    delay, event = (
                        60.0,
                        AttemptEnded(action.id, 0, action.endpoint, 60.0, AttemptResult.OK, True),
                    )
                    level, at = stores.get(asked[action.id], (plan.burst, begin))
                    level = min(plan.burst, level + (now - at) / 1000 * plan.rate_per_s)
                    sent, beyond = sent + 1, beyond + (level < 1)
                    stores[asked[action.id]] = level - (level >= 1), now
                elif isinstance(action, SetTimer):
                    delay, event = max(action.after_ms, 1e-3), TimerFired(action.name)
                elif isinstance(action, SendGossip) and rng.random() > 0.05:
                    delay, event, receiver = (
                        rng.uniform(1, 39),
                        GossipReceived(n, action.data),
                        action.receiver,
                    )
                elif isinstance(action, Reject):
                    refused += use[asked[action.id]] < 1
                if event is not None:
                    heapq.heappush(later, (now + delay, next(order), receiver, event))
    return beyond / sent, refused / quiet


@pytest.mark.parametrize("gateways", [3, 40, 200])
def test_quotas_hold_for_the_fleet(gateways):
    """A policy that sees late lets some units of a hundred through beyond them, and counts as the measure."""
    beyond, refused = beyond_quotas(gateways, seed=gateways)
    assert beyond < 0.03 and refused < 0.03
