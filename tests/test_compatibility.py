"""What must stay as it is, byte for byte, against recordings in tests/fixtures.

Recorded on cbc24af, the last version before the modules were renamed and split. A test that fails here says
that clients, workers, peers, operators, the simulator, or another version of this program would notice.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import socket
import struct
import subprocess
import sys
import tomllib

import pytest
from support.fakes import (
    HOST,
    Client,
    FakeDiscovery,
    FakeWorker,
    Gate,
    Script,
    answer,
    config,
    entry,
    request,
    run,
)
from support.policy_settings import settings
from support.process_scenarios import ROOT, free_port, start, tell_list

from gateway.gossip import codec as messages
from gateway.interface.actions import Fail, Reject, SendAttempt, SetTimer
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
from gateway.policy.controller import Controller
from gateway.policy.state_transfer import hot_restart
from gateway.policy.state_transfer.gateway_state import GatewayState

FIXTURES = pathlib.Path(__file__).parent / "fixtures"
BODY_LIMIT = 256 * 1024  # a larger body is passed on while it comes


def check(name, value):
    """The value is what was recorded under this name."""
    assert value == (FIXTURES / name).read_bytes(), name


def check_json(name, value):
    """The same of a value that goes out as JSON."""
    check(name, json.dumps(value, indent=1).encode() + b"\n")


# ---- messages of peers


ITEMS = [(kind, 0xDEADBEEF - kind, 77 * kind, 1.25 * kind, 3.5, kind % 3, kind % 4) for kind in range(1, 8)]


def test_a_datagram_of_each_kind_of_item():
    recorded = {}
    for fields in ITEMS:
        kind = messages.EntryKind(fields[0])
        data = messages.encode(513, 2.5, [messages.QuotaEntry(kind, *fields[1:])], [])
        recorded[str(fields[0])] = data.hex()
        decoded = messages.decode(data)
        assert (
            tuple(decoded.entries[0]) == fields
            and decoded.incarnation == 513
            and decoded.target_concurrency == 2.5
        )
    check_json("datagrams.json", recorded)


def test_a_datagram_with_everything_that_it_holds():
    items = [
        messages.QuotaEntry(
            messages.EntryKind(1 + n % 7), n * 0x1234567 & 0xFFFFFFFF, n, n / 16, n / 8, n % 16, n % 16
        )
        for n in range(30)
    ]
    ratios = (0.01, 0.5, 1.0, 2.0, 7.0, 99.0, float("inf"))
    sightings = [messages.observe(f"10.0.0.{n}:80", n, ratio) for n, ratio in enumerate(ratios)]
    check("datagram-full.bin", messages.encode(70_000, 1e9, items, sightings))
    check("datagram-reports.bin", b"".join(messages.encode(1, 0.0, [], [seen]) for seen in sightings))


# ---- the state that one process hands to the next


def busy_gateway():
    """A gateway with a little of everything: customers, stores with asks, leases, endpoints that failed."""
    settled = settings(gateways=2)
    controller = Controller(settled, 7)
    servers = tuple(
        Endpoint(f"10.0.0.{n}:80", f"z{n % 2}", n % 3, EndpointState.READY, 1.0, 0.0 if n else 9_000.0)
        for n in range(5)
    )
    now, number = 10_000.0, 0
    controller.handle(now, [EndpointUpdate(servers)])
    for step in range(120):
        now += 7.0
        events = [TimerFired("agenda")]
        for name, plan in (("look", "rated"), ("book", "capped"), ("seat", "open"), ("debit", "rated")):
            number += 1
            if (number + step) % 3:
                events.append(
                    RequestArrived(
                        number,
                        f"customer-{number % 5}",
                        name,
                        plan,
                        now + 1400.0,
                        1 + number % 2,
                        number % 2,
                        1 + number % 2,
                    )
                )
        if step % 10 == 0:
            asks = [
                messages.QuotaEntry(
                    messages.EntryKind(kind),
                    messages.customer_tag(f"customer-{kind % 5}"),
                    step + kind,
                    1.0,
                    2.0,
                    0,
                    kind % 3,
                )
                for kind in range(1, 8)
            ]
            seen = [
                messages.observe("10.0.0.3:80", 0, 2.0),
                messages.observe("10.0.0.4:80", 1, float("inf")),
            ]
            events.append(GossipReceived(1, messages.encode(3, 1.5, asks, seen)))
        for action in controller.handle(now, events):
            if isinstance(action, SendAttempt) and action.id % 5:
                result = (
                    AttemptResult.ERROR
                    if action.id % 7 == 0
                    else AttemptResult.OVERLOADED
                    if action.id % 11 == 0
                    else AttemptResult.OK
                )
                controller.handle(
                    now + 3,
                    [
                        AttemptEnded(
                            action.id,
                            0,
                            action.endpoint,
                            3.0 + action.id % 60,
                            result,
                            result is AttemptResult.OK,
                            load=(0.25, 3.0),
                        )
                    ],
                )
    assert not controller.errors
    return controller, now


def test_the_whole_state_that_is_handed_over():
    controller, now = busy_gateway()
    state = hot_restart.export_state(controller, now + 5).to_json()
    assert state["accounts"] and state["stores"] and state["servers"]
    assert any(row[6] for row in state["stores"]) and any(row[7] for row in state["stores"])
    check_json("state.json", state)


def test_the_state_of_the_last_version_is_taken_over():
    state = json.loads((FIXTURES / "state.json").read_text())
    successor = Controller(settings(gateways=2), 8)
    now = 50_000.0
    servers = tuple(
        Endpoint(f"10.0.0.{n}:80", f"z{n % 2}", n % 3, EndpointState.READY, 1.0, 0.0 if n else 9_000.0)
        for n in range(5)
    )
    successor.handle(now, [EndpointUpdate(servers)])
    hot_restart.take_over(successor, now + 1, GatewayState.from_json(state))
    check_json("state-taken-over.json", hot_restart.export_state(successor, now + 2).to_json())


async def receive(loop, link):
    """One packet and its descriptors."""
    while True:
        with contextlib.suppress(BlockingIOError):
            return socket.recv_fds(link, 64 * 1024, 4)[:2]
        readable = loop.create_future()
        loop.add_reader(link, readable.set_result, None)
        await readable
        loop.remove_reader(link)


def at_process(tmp_path, scenario, **more):
    """Run a scenario with a started process that another one may follow."""

    async def whole():
        async with FakeDiscovery() as fake, FakeWorker() as worker:
            port = free_port()
            path = tmp_path / "config.json"
            path.write_text(json.dumps(config(fake.port, port, **more)))
            process = None
            try:
                process = await scenario(path, port, fake, worker)
            finally:
                if process is not None and process.returncode is None:
                    process.kill()
                    await process.wait()

    run(whole())


def test_the_packets_to_a_process_that_follows(tmp_path):
    """T asks; S, G and C answer; H passes on a peer's message. The file's name is known to both versions."""

    async def scenario(path, port, fake, worker):
        loop = asyncio.get_running_loop()
        process = await start(path, str(tmp_path))
        await tell_list(fake, entry("w1", worker.port))
        name = tmp_path / f"gatekeeper-{HOST}-{port}"
        while not name.exists():
            await asyncio.sleep(0.01)
        idle = await Client().open(port)
        idle.send(request("00000000000000f1"))
        _, writer = await worker.asked()
        writer.write(answer())
        assert (await idle.answer())[0] == 200
        with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as link:
            link.connect(str(name))
            link.setblocking(False)
            link.send(b"T")
            text = b""
            while (packet := await receive(loop, link))[0][:1] == b"S":
                text += packet[0][1:]
            assert packet[0] == b"G" and len(packet[1]) == 1  # it has no peers: no second socket
            with socket.socket(fileno=packet[1][0]) as listener:
                assert listener.getsockname() == (HOST, port)
            state = json.loads(text)
            assert list(state) == ["names", "module", "held"] and state["names"] == ["00000000000000f1"]
            assert list(state["module"]) == list(json.loads((FIXTURES / "state.json").read_text()))
            moved, descriptors = await receive(loop, link)
            assert moved == b"C" and len(descriptors) == 1
            with socket.socket(fileno=descriptors[0]) as client:
                assert client.getpeername() == idle.writer.get_extra_info("sockname")
            link.send(b"H" + struct.pack("<H", 1) + b"\x00")
            await asyncio.sleep(0.05)
        assert process.returncode is None
        return process

    at_process(tmp_path, scenario)


def test_a_process_of_the_last_version_is_followed(tmp_path):
    """Its packets as recorded, with an idle connection of a client."""

    async def scenario(path, port, fake, worker):
        loop = asyncio.get_running_loop()
        with contextlib.ExitStack() as stack:
            door = stack.enter_context(socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET))
            door.bind(str(tmp_path / f"gatekeeper-{HOST}-{port}"))
            door.listen(1)
            door.setblocking(False)
            listener = stack.enter_context(socket.create_server((HOST, port), reuse_port=True))
            client = await Client().open(port)
            accepted, _ = listener.accept()
            process = await start(path, str(tmp_path))
            await tell_list(fake, entry("w1", worker.port))
            link, _ = await loop.sock_accept(door)
            stack.enter_context(link)
            link.setblocking(False)
            assert (await receive(loop, link))[0] == b"T"
            module = json.loads((FIXTURES / "state.json").read_text())
            text = json.dumps({"names": ["00000000000000f2"], "module": module, "held": 20}).encode()
            for begin in range(0, len(text), 1000):
                link.send(b"S" + text[begin : begin + 1000])
            socket.send_fds(link, [b"G"], [listener.fileno()])
            socket.send_fds(link, [b"C"], [accepted.fileno()])
            accepted.close()
            client.send(request("00000000000000f2"))  # its id is in use at the process before
            assert (await client.answer())[0] == 409
            client.send(request("00000000000000f3"))
            _, writer = await worker.asked()
            writer.write(answer(body=b"moved"))
            assert (await client.answer())[2] == b"moved"
        return process

    at_process(tmp_path, scenario)


# ---- clients


def changed(old, new, **more):
    """A request with a part of its head replaced."""
    data = request("00000000000000e1", **more)
    assert old in data
    return data.replace(old, new)


LOOK = {"path": "/look"}
BOOK = {"path": "/book/7", "key": "k1", "body": b"body"}
BAD = {
    "no HTTP": b"what is this\r\n\r\n",
    "no path": changed(b"GET /look", b"GET look", **LOOK),
    "unknown class": changed(b"/look", b"/nothing", **LOOK),
    "wrong method": changed(b"GET", b"PUT", **LOOK),
    "GET with a body": changed(b"\r\n\r\n", b"\r\nContent-Length: 2\r\n\r\nab", **LOOK),
    "no key": changed(b"Idempotency-Key: k1\r\n", b"", **BOOK),
    "malformed key": changed(b"k1", b"k 1", **BOOK),
    "key on a class without": changed(b"\r\n\r\n", b"\r\nIdempotency-Key: k\r\n\r\n", **LOOK),
    "no id": changed(b"X-Request-Id: 00000000000000e1\r\n", b"", **LOOK),
    "malformed id": changed(b"00000000000000e1", b"e/1", **LOOK),
    "malformed customer": changed(b"00000000b4d65521", b"b4d65521", **LOOK),
    "customer out of range": changed(b"00000000b4d65521", b"f0000000b4d65521", **LOOK),
    "unknown plan": changed(b"basic", b"golden", **LOOK),
    "malformed deadline": changed(b"X-Deadline-Ms: 10000", b"X-Deadline-Ms: soon", **LOOK),
    "zero deadline": changed(b"X-Deadline-Ms: 10000", b"X-Deadline-Ms: 0", **LOOK),
    "no terms": changed(b"X-Call-Terms: units=1,spread=2,first=0\r\n", b"", **LOOK),
    "a term twice": changed(b"units=1", b"units=1,units=1", **LOOK),
    "units out of range": changed(b"units=1", b"units=9999", **LOOK),
    "spread out of range": changed(b"spread=2", b"spread=4", **LOOK),
    "first out of range": changed(b"first=0", b"first=3", **LOOK),
    "a header twice": changed(b"X-Tier: basic", b"X-Tier: basic\r\nX-Tier: basic", **LOOK),
    "malformed length": changed(b"Content-Length: 4", b"Content-Length: four", **BOOK),
    "length and chunks": changed(
        b"Content-Length: 4", b"Content-Length: 4\r\nTransfer-Encoding: chunked", **BOOK
    ),
    "too large": changed(b"Content-Length: 4", b"Content-Length: 999999999", **BOOK),
    "too long a head": changed(b"Host: h", b"Host: h\r\nX-Long: " + b"x" * 20_000, **LOOK),
    "close asked for": changed(b"X-Tier: basic", b"X-Tier: golden\r\nConnection: close", **LOOK),
}


async def reply_to(port, data):
    """All bytes that come back, up to the end of the connection or of a head that leaves it open."""
    client = await Client().open(port)
    client.send(data)
    head = await client.reader.readuntil(b"\r\n\r\n")
    rest = await client.reader.read() if b"Connection: close" in head else b""
    client.close()
    return (head + rest).decode()


async def test_answers_to_each_kind_of_bad_input():
    async with Gate(Script()) as gate:
        check_json("bad-input.json", {name: await reply_to(gate.port, data) for name, data in BAD.items()})


class Answering(Script):
    """Answers each request in the module's place, by the number that it has."""

    def handle(self, now, events):
        finals = (Reject, lambda number: Reject(number, 1234.5), Fail)
        return [finals[event.id % 3](event.id) for event in events if isinstance(event, RequestArrived)]


async def test_final_answers_without_an_endpoint_and_of_readiness():
    async with Gate(Answering()) as gate:
        replies = [
            await reply_to(gate.port, request(extra=extra)) for extra in ("", "", "", "Connection: close\r\n")
        ]
        up = b"GET /up HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
        replies.append(await reply_to(gate.port, up))
        gate.gateway.ready = False
        replies.append(await reply_to(gate.port, up))
        check_json("final-answers.json", replies)


async def test_an_id_in_use_and_a_second_request_before_the_answer():
    async with FakeWorker() as worker, Gate(Script(), known=[entry("w1", worker.port)]) as gate:
        client = await gate.client()
        client.send(request("00000000000000d1"))
        _, writer = await worker.asked()
        replies = [await reply_to(gate.port, request("00000000000000d1"))]
        client.send(request("00000000000000d2"))
        await asyncio.sleep(0.05)
        writer.write(answer(body=b"first"))
        replies.append((await client.reader.read()).decode())
        check_json("in-use.json", replies)


# ---- workers


async def heads_at_worker(sent):
    """The bytes that a worker gets for each of these requests, up to the end of the head.

    Each is sent in two parts, the second when the head of the first is there: whether a large body is whole
    when it is sent on would else be a matter of chance, and X-Deadline-Ms with it.
    """
    heads = asyncio.Queue()

    async def serve(reader, writer):
        heads.put_nowait((await reader.readuntil(b"\r\n\r\n")).decode())
        with contextlib.suppress(ConnectionError):
            await reader.read()

    server = await asyncio.start_server(serve, HOST, 0)
    received = []
    known = [entry("w1", server.sockets[0].getsockname()[1])]
    async with Gate(Script(), known=known) as gate:
        for first, rest in sent:
            client = await gate.client()
            client.send(first)
            received.append(await heads.get())
            client.send(rest)
            client.close()
    server.close()
    return received


async def test_the_head_that_an_endpoint_gets():
    chunked = changed(b"Content-Length: 4\r\n", b"Transfer-Encoding: chunked\r\n", **BOOK)
    small = [
        request("00000000000000c1", "/look/3?q=%20", extra="Accept: x\r\nContent-Type: text/plain\r\n"),
        request("00000000000000c2", "/book/7", key="k~1", body=b"\x00body"),
        request("00000000000000c3", "/debit", body=b"1", extra="content-type:  a/b \r\n"),
        chunked.removesuffix(b"body") + b"4\r\nbody\r\n0\r\n\r\n",
    ]
    large = [
        request("00000000000000c4", "/book", key="k", body=bytes(BODY_LIMIT + 1)),
        chunked.removesuffix(b"body").replace(b"e1", b"e2") + b"50000\r\n%s\r\n0\r\n\r\n" % bytes(0x50000),
    ]
    sent = [(data, b"") for data in small] + [(data[:-1], data[-1:]) for data in large]
    check_json("worker-heads.json", await heads_at_worker(sent))


# ---- operators


CALLS = (
    b"GET /_ready HTTP/1.1\r\nHost: h\r\n\r\n",
    b"GET /_vars HTTP/1.1\r\nHost: h\r\n\r\n",
    b"GET /nothing HTTP/1.1\r\nHost: h\r\n\r\n",
    b"POST /_vars HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n",
    b"what is this\r\n\r\n",
    b"GET /_ready HTTP/1.1\r\nA: " + b"a" * 20_000,
)


async def test_the_calls_of_operators():
    async with FakeWorker() as worker:
        known = [entry("w1", worker.port), entry("w2", 9, "draining")]
        async with Gate(None, known=known) as gate:
            await asyncio.sleep(0.05)
            client = await gate.client()
            client.send(request())
            _, writer = await worker.asked()
            writer.write(answer())
            await client.answer()
            replies = [await reply_to(gate.door_port, data) for data in CALLS]
            gate.gateway.ready = False
            replies.append(await reply_to(gate.door_port, CALLS[0]))
            check_json("operators.json", replies)


# ---- the simulator


def simulated_day():
    """A day on the simulator's wire: two gateways, ten workers that come and go, three classes."""
    info = {
        "balancers": 2,
        "locality": "a",
        "tickMs": 4.0,
        "must": 1,
        "classes": [
            {"name": "look", "aimMs": 500.0, "deadlineMs": 2000.0, "worth": 1.0, "repeat": "retryable"},
            {
                "name": "book",
                "aimMs": 600.0,
                "deadlineMs": 2500.0,
                "worth": 4.0,
                "repeat": "dedup",
                "keyScope": "cell",
                "dedupWindowMs": 1200.0,
            },
            {"name": "debit", "aimMs": 700.0, "deadlineMs": 2500.0, "worth": 3.0, "repeat": "fragile"},
        ],
        "packages": [
            {"name": "basic", "perSecond": 9.0, "storeSize": 20.0, "overWorth": 0.4},
            {
                "name": "capped",
                "perSecond": 8.0,
                "storeSize": 16.0,
                "hardRate": 16.0,
                "hardBurst": 32.0,
                "capSlack": 4.0,
                "overrunCost": 1.0,
            },
            {"name": "open", "concurrency": 3.0, "valueFactor": 1.5},
        ],
        "limits": {
            "maxAttempts": 3,
            "cancel": True,
            "mayTell": True,
            "secondCopies": True,
            "retryAfter": True,
            "maxRetryAfterMs": 900.0,
        },
        "domain": {"maxUnits": 4.0, "inboxPerS": 60.0, "postPaid": True},
        "report": {"how": "answers", "fields": ["util", "inflight"]},
        "rules": {"warmUpMs": 900.0, "coldFrom": 0.2, "fallMultiple": 3.0, "tipAfterMs": 300.0},
    }
    rows = [
        f"WORKER\tw:{n}\t{'ab'[n % 2]}\tkind\t{n % 4}\tRunning\t1\t{900 if n > 7 else '-'}" for n in range(10)
    ]
    yield "SYNC\t1000"
    for n in range(2):
        yield f"SWITCH_TO\t{n}"
        yield f"CONFIGURE\t{n + 7}\t{json.dumps(dict(info, myNumber=n))}"
        yield from ("FLEET\tfull\t1\t10", *rows)
    yield "YOUR_TURN"
    number = 0
    for step in range(500):
        now = 1004 + 4 * step
        yield f"SYNC\t{now}"
        for n in range(2):
            yield f"SWITCH_TO\t{n}"
            yield "FIRED\tagenda"
            if step % 100 == 50:
                yield from ("FLEET\tdelta\t2\t1", rows[step // 100].replace("Running", "Stopping"))
            number += 1
            name, plan = (
                ("look", "book", "debit")[number % 3],
                ("basic", "capped", "open", "basic")[number // 3 % 4],
            )
            due_ms, state = now + 900 + number % 700, 2 * (number % 9 == 0)
            yield (
                f"REQUEST\t{number}\t0\t2\t{1 + number % 3}\t{due_ms}\t{state}\t"
                f"{number % 7:016x}\t{name}\t{plan}"
            )
            older = number - 24
            if older > 0:
                result = ("ok", "ok", "ok", "error", "ok", "full", "ok", "reset", "timeout")[older % 9]
                yield (
                    f"VERDICT\t{older}\t0\t1\tw:{older % 10}\t{20 + older % 50}\t{result}\t"
                    f"{int(result == 'ok')}\t0\t0.{older % 10},{older % 6}"
                )
            if step % 25 == 0:
                item = messages.QuotaEntry(
                    messages.EntryKind(1 + step // 25 % 7),
                    messages.customer_tag(f"{step % 7:016x}"),
                    step + 1,
                    1.0,
                    2.5,
                    step % 3,
                    step % 3,
                )
                data = messages.encode(9, 3.0, [item], [messages.observe("w:3", 0, 2.0)])
                yield f"FROM_PEER\t{1 - n}\t{data.hex()}"
        yield "YOUR_TURN"


def test_a_simulated_day_is_decided_as_before():
    command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["sim"]
    command = command.replace(".venv/bin/python", sys.executable)
    done = subprocess.run(
        ["/bin/sh", "-c", command],
        input="\n".join([*simulated_day(), ""]).encode(),
        cwd=ROOT,
        capture_output=True,
        env={**os.environ, "PYTHONHASHSEED": "random"},
    )
    assert done.returncode == 0 and not done.stderr
    check("simulated-day.txt", done.stdout)


@pytest.mark.parametrize("wake", [0.0, 12.5])
async def test_a_wake_up_asked_for_by_the_module_comes_on_the_grid_of_its_ticks(wake):
    script = Script(worker="")
    async with Gate(script) as gate:
        script.to_do = [SetTimer(wake, "agenda")]
        began_ms = gate.gateway.clock.now()
        gate.gateway.enqueue(TimerFired("begin"))
        while not [event for event in script.events if event == TimerFired("agenda")]:
            await asyncio.sleep(0.001)
        assert gate.gateway.clock.now() - began_ms >= wake
