"""Discovery, peers and the clock against small fakes."""

import asyncio
import bisect
import contextlib
import itertools
import json
import random
import socket

import pytest
from fakes import HOST, FakeDiscovery, answer, config, entry, listing, run, told

from gateway.config import EndpointList, config_from
from gateway.network.clock import Clock, Timers
from gateway.network.discovery.backoff import CallPace
from gateway.network.discovery.client import (
    DiscoveryError,
    DiscoveryOverloadedError,
    DiscoveryTimeoutError,
    InvalidAnswerError,
)
from gateway.network.discovery.watch import Discovery
from gateway.network.gossip_socket import GossipSocket

WATCH = "/discovery/hosts?since={}&timeout_ms=5000"


def watched(scenario):
    """Run a scenario with a fake discovery, and a queue of what the gatekeeper is told."""

    async def whole():
        async with FakeDiscovery() as fake:
            lists = asyncio.Queue()
            discovery = Discovery((HOST, fake.port), lists.put_nowait)
            task = asyncio.get_running_loop().create_task(discovery.run())
            await scenario(fake, lists, discovery)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    run(whole())


def test_the_whole_list_then_a_watch_from_its_version():
    async def scenario(fake, lists, discovery):
        target, writer = await fake.called()
        assert target == "/discovery/hosts" and not discovery.listed.is_set()
        writer.write(told(listing(entry("w1", 5001), index=41)))
        assert (await lists.get()).is_snapshot and discovery.listed.is_set()
        target, writer = await fake.called()
        assert target == WATCH.format(41)
        writer.write(told(listing(entry("w1", 5001, "gone"), index=43, snapshot=False)))
        news = await lists.get()
        assert not news.is_snapshot and news.entries[0].endpoint.state.value == "gone"
        assert (await fake.called())[0] == WATCH.format(43)

    watched(scenario)


def test_a_watch_that_brings_nothing_goes_on_and_tells_nothing():
    async def scenario(fake, lists, _discovery):
        _, writer = await fake.called()
        writer.write(told(listing(index=41)))
        await lists.get()
        for _ in range(2):
            target, writer = await fake.called()
            assert target == WATCH.format(41)
            writer.write(told(listing(index=41, snapshot=False)))
        await fake.called()
        assert lists.empty()

    watched(scenario)


@pytest.mark.parametrize(
    "reply",
    [
        answer(500),
        answer(body=b"no json"),
        answer(body=b"[" * 100_000),
        answer(body=b"3"),
        b"noise\r\n\r\n",
        answer(body=b'{"index":42,"endpoints":3}'),
        told(listing(index=40, snapshot=False)),
    ],
)
def test_after_an_odd_answer_the_whole_list_is_asked_again(reply):
    async def scenario(fake, lists, _discovery):
        _, writer = await fake.called()
        writer.write(told(listing(index=41)))
        await lists.get()
        _, writer = await fake.called()
        writer.write(reply)
        target, writer = await fake.called()
        assert target == "/discovery/hosts"
        writer.write(told(listing(entry("w1", 5001), index=44)))
        assert (await lists.get()).index == 44

    watched(scenario)


@pytest.mark.parametrize("reply", [answer(503), answer(429), None])
def test_turned_away_it_goes_on_from_the_version_that_it_has(reply):
    """Seen on a day with a fleet of 14: all asked for whole lists, and none was answered any more."""

    async def scenario(fake, lists, _discovery):
        _, writer = await fake.called()
        writer.write(told(listing(index=41)))
        await lists.get()
        _, writer = await fake.called()
        writer.write(reply) if reply else writer.transport.abort()
        target, writer = await fake.called()
        assert target == "/discovery/hosts?since=41&timeout_ms=1"  # what has changed meanwhile comes at once
        writer.write(told(listing(entry("w1", 5001), index=44, snapshot=False)))
        assert (await lists.get()).index == 44
        assert (await fake.called())[0] == WATCH.format(44)

    watched(scenario)


def test_with_a_known_list_it_asks_for_the_changes():
    async def scenario():
        async with FakeDiscovery() as fake:
            discovery = Discovery((HOST, fake.port), print, 41)
            task = asyncio.get_running_loop().create_task(discovery.run())
            target, writer = await fake.called()
            assert target == "/discovery/hosts?since=41&timeout_ms=1"
            writer.write(told(listing(index=41, snapshot=False)))
            await discovery.listed.wait()
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    run(scenario())


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
def test_a_fleet_that_is_turned_away_does_not_come_again_all_at_once(fleet, monkeypatch):
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
def test_the_first_call_that_is_turned_away_counts_from_its_beginning(fleet, monkeypatch):
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
def test_what_discovery_has_is_applied_6_s_after_it_can_be_reached(fleet, pushed, failure, monkeypatch):
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
def test_where_lists_are_pushed_a_broken_watch_is_open_again_within_the_grace(fleet, grace_s, monkeypatch):
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

    async def scenario():
        for seed in range(fleet):
            await gateway(seed)

    run(scenario())


def test_where_somebody_turns_callers_away_it_is_not_an_agent_of_ours():
    pace = CallPace(40, random.Random(1), alone=True)
    alone = max(pace.after_failure_s() for _ in range(20)), pace.watch_ms()
    pace.on_overload()
    assert alone == (pytest.approx(0.5, abs=0.25), 5000)
    assert max(pace.after_failure_s() for _ in range(20)) > 3 and pace.watch_ms() == 40_000


def test_after_a_start_the_first_call_is_made_again_sooner():
    """Its list may be an old one, and the others have theirs."""
    started, settled = (
        [CallPace(14, random.Random(seed)) for seed in range(40)],
        [CallPace(14, random.Random(seed)) for seed in range(40)],
    )
    for pace in settled:
        pace.on_answer()
    first, later = [one.after_failure_s() for one in started], [one.after_failure_s() for one in settled]
    assert sum(first) < 0.7 * sum(later) and max(first) < 2.3 and max(later) <= 3.5


@pytest.mark.parametrize("reply", [b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", None])
def test_after_a_failure_the_first_call_is_short(reply):
    """One that may wait for news could hang for 41 s before that is noticed."""

    async def scenario():
        async with FakeDiscovery() as fake:
            discovery = Discovery((HOST, fake.port), print, 41)
            task = asyncio.get_running_loop().create_task(discovery.run())
            _, writer = await fake.called()
            writer.write(told(listing(index=41, snapshot=False)))
            target, writer = await fake.called()
            assert target == WATCH.format(41)
            writer.write(reply) if reply else writer.transport.abort()
            assert (await fake.called())[0].endswith("timeout_ms=1")
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    run(scenario())


def test_an_entry_that_cannot_be_read_does_not_spoil_the_list():
    async def scenario(fake, lists, _discovery):
        _, writer = await fake.called()
        odd = [{"name": "w"}, 3, entry("w2", 0), entry("w3", 5001, "asleep")]
        writer.write(told(listing(*odd, entry("w1", 5001), index=41)))
        news = await lists.get()
        assert [one.endpoint.id for one in news.entries] == ["w1"] and news.is_snapshot
        assert (await fake.called())[0] == WATCH.format(41)

    watched(scenario)


def test_a_watch_moves_and_begins_with_the_whole_list():
    """Whatever it is doing at the old address: here a watch waits, and then a call that has no answer."""

    async def scenario(fake, lists, discovery):
        _, writer = await fake.called()
        writer.write(told(listing(index=41)))
        await lists.get()
        assert (await fake.called())[0] == WATCH.format(41)
        async with FakeDiscovery() as silent, FakeDiscovery() as new:
            discovery.move((HOST, silent.port))
            await silent.called()
            discovery.move((HOST, new.port))
            target, writer = await new.called()
            assert target == "/discovery/hosts"
            writer.write(told(listing(entry("w9", 5009), index=3)))
            assert (await lists.get()).index == 3
            assert (await new.called())[0] == WATCH.format(3)
            assert fake.calls.empty() and silent.calls.empty()

    watched(scenario)


def test_an_older_list_at_another_address_makes_no_endpoint_ready_that_was_told_to_drain():
    """After SIGHUP the new address may be behind. What a list does not say yet is not taken back by it."""

    async def scenario(fake, lists, discovery):
        _, writer = await fake.called()
        writer.write(told(listing(*(entry(f"w{n}", 5001 + n) for n in range(4)), index=41)))
        await lists.get()
        _, writer = await fake.called()
        writer.write(
            told(listing(entry("w0", 5001, "draining"), entry("w1", 5002, "gone"), index=42, snapshot=False))
        )
        await lists.get()
        async with FakeDiscovery() as new:
            discovery.move((HOST, new.port))
            _, writer = await new.called()
            old = [entry("w0", 5001), entry("w1", 5002, since_ms=7), entry("w2", 5003), entry("w4", 5005)]
            writer.write(told(listing(*old, index=40)))
            states = {one.endpoint.id: one.endpoint.state.value for one in (await lists.get()).entries}
            assert states == {"w0": "draining", "w1": "ready", "w2": "ready", "w4": "ready"}
            _, writer = await new.called()
            writer.write(told(listing(entry("w0", 5001), index=43, snapshot=False)))  # it drains no more
            assert (await lists.get()).entries[0].endpoint.state.value == "ready"

    watched(scenario)


def test_a_fault_of_ours_does_not_end_the_watch(monkeypatch):
    monkeypatch.setattr("gateway.network.discovery.watch.MAX_WAIT_S", 0.0)

    async def scenario(fake, lists, discovery):
        discovery._on_list = lambda _news: 1 / 0
        _, writer = await fake.called()
        writer.write(told(listing(index=41)))
        _, writer = await fake.called()
        discovery._on_list = lists.put_nowait
        writer.write(told(listing(index=42)))
        assert (await lists.get()).index == 42

    watched(scenario)


def test_silence_is_survived(monkeypatch):
    monkeypatch.setattr("gateway.network.discovery.watch.CALL_TIMEOUT_S", 0.05)

    async def scenario(fake, lists, _discovery):
        for _ in range(3):
            assert (await fake.called())[0] == "/discovery/hosts"  # and no answer

        async def answer_all():
            while True:
                _, writer = await fake.called()
                writer.write(told(listing(index=7)))

        answering = asyncio.get_running_loop().create_task(answer_all())
        assert (await lists.get()).index == 7
        answering.cancel()

    watched(scenario)


def test_refusals_are_survived():
    async def scenario():
        probe = socket.create_server((HOST, 0))
        port = probe.getsockname()[1]
        probe.close()
        lists = asyncio.Queue()
        discovery = Discovery((HOST, port), lists.put_nowait)
        failed = asyncio.Event()
        call = discovery._call

        async def watched_call(*args):
            try:
                return await call(*args)
            finally:
                failed.set()

        discovery._call = watched_call
        task = asyncio.get_running_loop().create_task(discovery.run())
        await failed.wait()
        server = await asyncio.start_server(serve_once, HOST, port)
        assert (await lists.get()).index == 9
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        server.close()

    async def serve_once(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(told(listing(index=9)))

    run(scenario())


# ---- peers --------------------------------------------------------------------------------------


def test_a_thousand_endpoints_are_listed_indented_as_well():
    async def scenario(fake, lists, _discovery):
        _, writer = await fake.called()
        text = json.dumps(listing(*(entry(f"s-{n:08x}", 5000 + n) for n in range(1024)), index=41), indent=4)
        writer.write(answer(body=text.encode()))
        news = await lists.get()
        assert (
            len({one.endpoint.id for one in news.entries}) == len(news.entries) == 1024 and news.is_snapshot
        )

    watched(scenario)


def test_a_thousand_peers_are_told_and_heard():
    """The last of them, by its address alone."""

    async def scenario():
        heard = asyncio.Queue()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.setblocking(False)
            sock.bind((f"127.1.{1023 // 256}.{1023 % 256}", 0))
            port = sock.getsockname()[1]
            addresses = [f"127.1.{n // 256}.{n % 256}:{port}" for n in range(1024)]
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
                probe.bind((HOST, 0))
                own = probe.getsockname()[1]
            value = config(peer_listen=f"{HOST}:{own}", peers=addresses)
            value["settings"]["balancers"] = 1024
            peers = GossipSocket(config_from(value, {}), lambda *what: heard.put_nowait(what))
            peers.open(asyncio.get_running_loop())
            sock.sendto(b"news", (HOST, own))
            assert await heard.get() == (1023, b"news")
            peers.send(1023, b"more")
            assert await asyncio.get_running_loop().sock_recv(sock, 300) == b"more"
            peers.close()

    run(scenario())


def test_peers_hear_each_other_and_no_stranger():
    async def scenario():
        loop = asyncio.get_running_loop()
        socks = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(3)]
        for sock in socks:
            sock.bind((HOST, 0))
            sock.setblocking(False)
        addresses = [f"{HOST}:{sock.getsockname()[1]}" for sock in socks]
        own, peer, stranger = socks
        own.close()  # the gatekeeper takes this address
        addresses[2] = f"{HOST}:1"
        heard = asyncio.Queue()
        peers = GossipSocket(
            config_from(config(peer_listen=addresses[0], peers=addresses), {}),
            lambda number, data: heard.put_nowait((number, data)),
        )
        peers.open(loop)
        there = (HOST, int(addresses[0].rpartition(":")[2]))
        stranger.sendto(b"stranger", there)
        peer.sendto(bytes(257), there)
        peer.sendto(b"hello", there)
        assert await heard.get() == (1, b"hello") and heard.empty()
        peers.send(1, bytes(257))  # too long: not sent
        peers.send(9, b"nobody")
        peers.send(-1, b"all")  # no such address in this configuration
        peers.send(1, b"back")
        assert await loop.sock_recv(peer, 300) == b"back"
        peers.close()
        peer.close()
        stranger.close()

    run(scenario())


# ---- the clock ----------------------------------------------------------------------------------


def test_alarms_fire_in_order_and_never_early():
    async def scenario():
        loop, clock = asyncio.get_running_loop(), Clock()
        alarms, fired, done = Timers(loop, clock), [], asyncio.Event()
        start = clock.now()

        def fire(at_ms):
            fired.append(at_ms)
            assert clock.now() >= start + at_ms
            if at_ms == 30.5:
                done.set()

        for at_ms in (30.5, 10.25, 20.0, 0.0):
            alarms.at(start + at_ms, lambda at_ms=at_ms: fire(at_ms))
        alarms.at(start + 15, lambda: fire(15)).cancel()
        await done.wait()
        assert fired == [0.0, 10.25, 20.0, 30.5]

    run(scenario())


def test_an_alarm_that_fails_does_not_stop_the_others():
    async def scenario():
        loop, clock = asyncio.get_running_loop(), Clock()
        loop.set_exception_handler(lambda *_: None)
        alarms, done = Timers(loop, clock), asyncio.Event()
        alarms.at(clock.now(), lambda: 1 / 0)
        alarms.at(clock.now(), done.set)
        await done.wait()

    run(scenario())


def test_the_clock_tells_unix_time_and_only_advances(monkeypatch):
    clock = Clock()
    first = clock.now()
    monkeypatch.setattr("time.time", lambda: 5.0)  # somebody sets the machine's clock back
    assert clock.now() >= first > 1.6e12
