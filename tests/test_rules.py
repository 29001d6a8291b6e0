"""Seeded random event sequences against the module, with an independent check of the five rules."""

import heapq
import itertools
import math
import random
from dataclasses import replace

import pytest
from support.policy_settings import GRACE, SLACK, TICK, settings

from gateway.interface.actions import CancelAttempt, Fail, Reject, SendAttempt, SendGossip, SetTimer
from gateway.interface.events import (
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    Endpoint,
    EndpointState,
    EndpointUpdate,
    GossipReceived,
    RequestArrived,
    ResponseStarted,
    TimerFired,
)
from gateway.interface.settings import Idempotency, KeyScope, Plan, RequestClass
from gateway.policy.controller import Controller


class Checker:
    """Keeps its own books of what was sent and answered; raises at the first broken rule."""

    def __init__(self, config):
        self.config = config
        self.kinds = {kind.name: kind for kind in config.classes}
        self.plans = {plan.name: plan for plan in config.plans}
        self.open, self.sent, self.proved, self.done = {}, {}, {}, set()
        self.ceilings = {}

    def arrival(self, gateway, arrival):
        self.open[arrival.id] = (gateway, arrival)
        self.sent[arrival.id], self.proved[arrival.id] = [], set()

    def killed(self, gateway):
        for number in [n for n, (owner, _) in self.open.items() if owner == gateway]:
            del self.open[number]
            self.done.add(number)

    def unproved(self, number):
        return [entry for n, entry in enumerate(self.sent[number]) if n not in self.proved[number]]

    def send(self, now, number, server, drained_ms, until_ms):
        assert number in self.open, f"rule 1: {number} sent after its end"
        _, arrival = self.open[number]
        kind, plan = self.kinds[arrival.class_name], self.plans[arrival.plan_name]
        assert drained_ms is None or now <= drained_ms + GRACE, "rule 3: sent to a draining server"
        loose = self.unproved(number)
        if kind.idempotency is Idempotency.NON_IDEMPOTENT:
            assert not loose, "rule 2: an unsafe request went out twice"
        if kind.idempotency is Idempotency.WITH_KEY and loose:
            first_ms, first = loose[0]
            assert now < until_ms <= first_ms + kind.deduplication_window_ms, "rule 2: past the window"
            if kind.key_scope is KeyScope.CELL:
                assert first.cell == server.cell, "rule 2: another cell"
            if kind.key_scope is KeyScope.ZONE:
                assert first.zone == server.zone, "rule 2: another zone"
        if not self.sent[number] and plan.ceiling_per_s:
            level, at = self.ceilings.get(arrival.customer, (plan.ceiling_burst, now))
            level = min(plan.ceiling_burst, level + (now - at) / 1000 * plan.ceiling_per_s) - arrival.units
            assert level >= -plan.ceiling_slack - 1e-6, f"rule 5: {arrival.customer} at {level}"
            self.ceilings[arrival.customer] = (level, now)
        self.sent[number].append((now, server))

    def answer(self, now, number, refused, retry_after_ms=0.0):
        _, arrival = self.open.pop(number)
        kind = self.kinds[arrival.class_name]
        assert now <= arrival.deadline_at_ms + SLACK, "rule 1: late"
        if refused and self.unproved(number):
            all_of_them = kind.idempotency is Idempotency.WITH_KEY and kind.key_scope is KeyScope.ALL
            first_ms = self.unproved(number)[0][0]
            known = all_of_them and now + retry_after_ms < first_ms + kind.deduplication_window_ms
            assert kind.idempotency is Idempotency.IDEMPOTENT or known, (
                "rule 2: refused though it may have run"
            )
        self.done.add(number)


class Town:
    """A few gateways, servers that act at random, and a network that loses, delays and repeats."""

    def __init__(self, seed, gateways=3, kill=0.0005, loss=0.3, rate=120, leave=0.0, **more):
        self.rng, self.leave, self.more = random.Random(seed), leave, more
        self.config = settings(gateways=gateways, **more)
        self.checker = Checker(self.config)
        self.loss, self.kill, self.rate, self.left_waiting = loss, kill, rate, 0
        self.now, self.serial, self.queue, self.log = 1000.0, 0, [], []
        self.inbox = {n: [] for n in range(gateways)}
        self.fleet = [Endpoint(f"s{n}", f"z{n % 2}", n % 4, EndpointState.READY) for n in range(8)]
        self.learned = {n: {} for n in range(gateways)}
        self.life = dict.fromkeys(range(gateways), 0)
        self.gateways, self.tries, self.streams = {}, {}, set()
        self.cold_sent = {}
        for n in range(gateways):
            self.start(n)

    def start(self, n):
        self.life[n] += 1
        config = settings(number=n, gateways=len(self.life), **self.more)
        self.gateways[n] = Controller(config, self.rng.randrange(1 << 30))
        self.inbox[n] = [EndpointUpdate(tuple(self.fleet))]
        self.learned[n] = {s.id: self.now for s in self.fleet if s.state is not EndpointState.READY}

    def later(self, delay, gateway, event):
        self.serial += 1
        heapq.heappush(self.queue, (self.now + delay, self.serial, gateway, self.life[gateway], event))

    def change_fleet(self):
        n = self.rng.randrange(len(self.fleet))
        old = self.fleet[n]
        flip = {
            EndpointState.READY: EndpointState.DRAINING,
            EndpointState.DRAINING: EndpointState.REMOVED,
            EndpointState.REMOVED: EndpointState.READY,
        }[old.state]
        started = self.now if flip is EndpointState.READY else old.started_ms
        self.fleet[n] = Endpoint(old.id, old.zone, old.cell, flip, 1.0, started)
        for gateway in self.gateways:
            self.inbox[gateway].append(EndpointUpdate((self.fleet[n],), is_snapshot=False))
            if flip is EndpointState.READY:
                self.learned[gateway].pop(old.id, None)
            else:
                self.learned[gateway].setdefault(old.id, self.now)

    def arrive(self):
        gateway = self.rng.randrange(len(self.gateways))
        self.serial += 1
        kind = self.rng.choice(self.config.classes)
        plan = self.rng.choice(self.config.plans)
        spread = self.rng.choice((2, len(self.gateways)))
        customer = f"{plan.name}-{self.rng.randrange(4 if plan.max_in_flight else 1)}-{spread}"
        first = gateway if spread == len(self.gateways) else 0
        if spread == 2:
            gateway = self.rng.randrange(2)
        due = self.now + kind.deadline_ms * self.rng.uniform(0.05, 1)
        arrival = RequestArrived(
            self.serial,
            customer,
            kind.name,
            plan.name,
            due,
            self.rng.choice((1, 1, 2, 4)),
            0 if spread == 2 else first * 0,
            spread,
        )
        self.checker.arrival(gateway, arrival)
        self.inbox[gateway].append(arrival)

    def act(self, n, action):
        if isinstance(action, SendAttempt):
            server = next(s for s in self.fleet if s.id == action.endpoint)
            self.checker.send(self.now, action.id, server, self.learned[n].get(server.id), action.send_by_ms)
            attempt = len(self.checker.sent[action.id]) - 1
            result = self.rng.choices(
                [
                    AttemptResult.OK,
                    AttemptResult.ERROR,
                    AttemptResult.OVERLOADED,
                    AttemptResult.TIMEOUT,
                    AttemptResult.CONNECT_FAILED,
                    AttemptResult.RESET,
                ],
                [70, 8, 8, 6, 4, 4],
            )[0]
            took = min(self.rng.expovariate(1 / 150), action.timeout_ms)
            took = action.timeout_ms if result is AttemptResult.TIMEOUT else took
            self.tries[action.id, attempt] = (n, server, self.now)
            streamed = self.checker.kinds[self.checker.open[action.id][1].class_name].streamed
            if streamed and result is AttemptResult.OK:
                self.later(took / 2, n, ResponseStarted(action.id, attempt, server.id))
            self.later(took, n, (action.id, attempt, result))
        elif isinstance(action, (Reject, Fail)):
            if action.id in self.checker.open:
                assert action.id not in self.streams, "rule 1: a started stream was ended"
                refused = isinstance(action, Reject)
                self.checker.answer(self.now, action.id, refused, action.retry_after_ms if refused else 0.0)
        elif isinstance(action, CancelAttempt):
            self.later(0.5, n, (action.id, action.attempt, AttemptResult.CANCELLED))
        elif isinstance(action, SetTimer):
            self.later(max(action.after_ms, 1e-3), n, TimerFired(action.name))
        elif isinstance(action, SendGossip):
            assert len(action.data) <= 256
            copies = 0 if self.rng.random() < self.loss else self.rng.choice((1, 1, 1, 2))
            for _ in range(copies):
                data = action.data if self.rng.random() > 0.02 else action.data[: self.rng.randrange(20)]
                self.later(self.rng.expovariate(1 / 60), action.receiver, GossipReceived(n, data))

    def deliver(self, gateway, event):
        if not isinstance(event, tuple):
            if isinstance(event, ResponseStarted):
                if event.id not in self.checker.open or (event.id, event.attempt) not in self.tries:
                    return
                self.streams.add(event.id)
            self.inbox[gateway].append(event)
            return
        number, attempt, result = event
        entry = self.tries.pop((number, attempt), None)
        if entry is None:
            return
        _, server, sent_ms = entry
        if result.proves_not_executed:
            self.checker.proved[number].add(attempt)
        if number in self.checker.open and (result is AttemptResult.OK or number in self.streams):
            self.streams.discard(number)
            due = self.checker.open[number][1].deadline_at_ms
            assert (
                self.now <= due + SLACK
                or self.checker.kinds[self.checker.open[number][1].class_name].streamed
            ), "rule 1: late"
            self.checker.open.pop(number)
            self.checker.done.add(number)
        final = number not in self.checker.open
        self.inbox[gateway].append(
            AttemptEnded(
                number,
                attempt,
                server.id,
                self.now - sent_ms,
                result,
                final,
                self.rng.choice((0, 1, 3)),
                0,
                (0.5, 2.0),
            )
        )

    def run(self, ms):
        end = self.now + ms
        while self.now < end or self.checker.open:
            self.now += TICK
            if self.now < end:
                while self.rng.random() < self.rate * TICK / 1000 / (1 + self.rate * TICK / 1000):
                    self.arrive()
                if self.rng.random() < 0.002:
                    self.change_fleet()
                if self.rng.random() < self.kill:
                    self.killed(self.rng.randrange(len(self.gateways)))
            if self.leave and self.checker.open and self.rng.random() < self.leave:
                self.client_leaves()
            while self.queue and self.queue[0][0] <= self.now:
                _, _, gateway, life, event = heapq.heappop(self.queue)
                if isinstance(event, GossipReceived) or life == self.life[gateway]:
                    self.deliver(gateway, event)
            for n, controller in self.gateways.items():
                events, self.inbox[n] = self.inbox[n], []
                if events:
                    actions = controller.handle(self.now, events)
                    assert not controller.errors, controller.errors
                    self.log.append((n, self.now, actions))
                    for action in actions:
                        self.act(n, action)
            overdue = [
                n
                for n, (_, arrival) in self.checker.open.items()
                if arrival.deadline_at_ms + SLACK < self.now and n not in self.streams
            ]
            assert not overdue, f"rule 1: no answer for {overdue[:3]}"
            assert self.now < end + 60_000

    def client_leaves(self):
        number = self.rng.choice(list(self.checker.open))
        gateway, _ = self.checker.open.pop(number)
        self.checker.done.add(number)
        self.streams.discard(number)
        self.inbox[gateway].append(ClientDisconnected(number))
        self.left_waiting += not self.checker.sent[number]

    def killed(self, n):
        self.checker.killed(n)
        self.tries = {key: entry for key, entry in self.tries.items() if entry[0] != n}
        self.start(n)


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
