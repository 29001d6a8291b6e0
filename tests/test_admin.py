"""The operators' door and its figures."""

import asyncio
import re

import pytest
from fakes import HOST, Client, FakeWorker, Gate, Script, answer, config, entry, request, run

from gateway.config import config_from
from gateway.interface.actions import Fail, Reject
from gateway.interface.events import RequestArrived
from gateway.network.admin import endpoint as door
from gateway.network.gateway import RESERVED_DESCRIPTORS


async def call(gate, data):
    """Status and body of one call at the door; the connection ends after it."""
    caller = await Client().open(gate.door_port)
    status, headers, body = await caller.send(data).answer()
    assert headers["connection"] == "close" and await caller.ends()
    return status, body.decode()


async def figures(gate):
    status, text = await call(gate, b"GET /_vars HTTP/1.1\r\nHost: h\r\n\r\n")
    assert status == 200
    lines = [line for line in text.splitlines() if not line.startswith("#")]
    assert all(f"# TYPE {line.split('{')[0].split()[0]} " in text for line in lines)
    return {name.removeprefix("edge_balancer_"): int(value) for name, value in map(str.split, lines)}


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET /_ready HTTP/1.1\r\nHost: h\r\n\r\n", 200),
        (b"GET /_ready?x=1 HTTP/1.1\r\nHost: h\r\n\r\n", 200),
        (b"GET /nothing HTTP/1.1\r\nHost: h\r\n\r\n", 404),
        (b"POST /_vars HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab", 405),
        (b"what is this\r\n\r\n", 400),
        (b"GET /_ready HTTP/1.1\r\nbroken\r\n\r\n", 400),
        (b"GET /_ready HTTP/1.1\r\nA: " + bytes(20_000).replace(b"\0", b"a"), 431),
    ],
)
def test_calls_at_the_admin_endpoint(data, status):
    async def scenario():
        async with Gate(Script()) as gate:
            assert (await call(gate, data))[0] == status

    run(scenario())


def test_ready_is_no_before_the_process_can_serve():
    async def scenario():
        async with Gate(Script()) as gate:
            gate.gateway.ready = False
            assert (await call(gate, b"GET /_ready HTTP/1.1\r\nHost: h\r\n\r\n"))[0] == 503

    run(scenario())


def test_callers_that_never_ask_keep_nobody_out_and_are_closed(monkeypatch):
    monkeypatch.setattr(door, "CALL_MS", 200.0)

    async def end_of(holder):
        try:
            return await holder.reader.read()
        except ConnectionError:
            return b""

    async def scenario():
        async with Gate(Script()) as gate:
            holders = [await Client().open(gate.door_port) for _ in range(3 * door.MOST)]
            for holder in holders:
                holder.send(b"GET /_ready HT")
            assert await figures(gate)
            assert len(gate.door.callers) <= door.MOST
            told = [await end_of(holder) for holder in holders]
            assert all(text == b"" or b" 408 " in text for text in told) and any(told)

    run(scenario())


def test_every_metric_is_there_from_nothing():
    async def scenario():
        async with Gate(None, known=[entry("w1", 9), entry("w2", 9, "draining")]) as gate:
            await asyncio.sleep(0)
            seen = await figures(gate)
            counts = {name: value for name, value in seen.items() if name.startswith("operations_total")}
            assert len(counts) == 9 and not any(counts.values())
            assert 'operations_total{priority="book",status="throttled"}' in counts
            assert seen["relayed_total"] == seen["open_requests"] == 0
            assert (seen["registry_entries"], seen["out_of_rotation"]) == (2, 1)

    run(scenario())


class Mixed(Script):
    """Sends the first of every three requests on, refuses the second and fails the third."""

    def handle(self, now, events):
        own = [event for event in events if isinstance(event, RequestArrived) and event.id % 3]
        actions = [Reject(event.id) if event.id % 3 == 2 else Fail(event.id) for event in own]
        return actions + super().handle(
            now, [one for one in events if not isinstance(one, RequestArrived) or one.id % 3 == 0]
        )


def test_each_request_counts_once_and_the_counts_add_up():
    async def scenario():
        async with FakeWorker() as worker, Gate(Mixed(), known=[entry("w1", worker.port)]) as gate:
            client = await gate.client()
            for number in range(1, 31):
                client.send(request(path="/book/1", key="k") if number % 2 else request())
                if number % 3 == 0:
                    _, writer = await worker.asked()
                    assert (await figures(gate))["open_requests"] == 1
                    writer.write(answer(200 if number % 9 else 500))
                await client.answer()
            client.send(b"GET /nothing HTTP/1.1\r\nHost: h\r\n\r\n")  # never taken, so no operation
            assert (await client.answer())[0] == 404
            seen = await figures(gate)
            totals = {
                how: sum(value for name, value in seen.items() if f'status="{how}"' in name)
                for how in ("fulfilled", "throttled", "faulted")
            }
            assert totals == {"fulfilled": 7, "throttled": 10, "faulted": 13}
            assert sum(value for name, value in seen.items() if re.search('priority="book"', name)) == 15
            assert seen["relayed_total"] == 10 and seen["open_requests"] == 0

    run(scenario())


def test_the_address_is_named_by_the_configuration_or_the_environment():
    assert config_from(config(), {}).control is None
    assert config_from(config(control=f"{HOST}:9100"), {}).control == (HOST, 9100)
    assert config_from(config(), {"BALANCER_CONTROL": f"{HOST}:9101"}).control == (HOST, 9101)
    with pytest.raises(ValueError, match=r"config\.control"):
        config_from(config(control="door"), {})


@pytest.mark.parametrize("sockets", [96, 192, 256, 1024])
def test_clients_and_endpoints_leave_the_admin_endpoint_its_descriptors(sockets):
    """Under a limit of 192 they could have held 168, with 26 to 28 in use beside them."""

    async def scenario():
        gateway = Gate(Script(), limits={"sockets": sockets}).gateway
        rest = sockets - gateway.connections.max_admitted - gateway.upstreams._max
        assert rest >= RESERVED_DESCRIPTORS >= 17 + 2 + door.MOST + 3
        assert sockets < 256 or gateway.connections.max_admitted == int(0.46 * sockets)  # as before

    run(scenario())
