"""A fleet of gateways on a simulated clock, with random events."""

import heapq
import random

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
from gateway.policy.controller import Controller
from support.policy_settings import SLACK, TICK, settings
from support.rule_checker import Checker


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
