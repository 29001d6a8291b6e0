"""Large bodies and answers are passed on as they come, in bounds; what is cut off is seen to be so."""

import asyncio

import pytest
from fakes import HOST, Gate, Script, entry, request, run

from gateway.interface.actions import Reject, SendAttempt
from gateway.interface.events import (
    AttemptEnded,
    AttemptResult,
    BodyReleased,
    ClientDisconnected,
    RequestArrived,
    RequestCompleted,
    ResponseStarted,
    TimerFired,
)
from gateway.network.admin.metrics import FinalStatus
from gateway.network.clients import upload as bodies
from gateway.network.clients.connection_limiter import INPUT_TIMEOUT_MS
from gateway.network.upstream import connection as workers

LARGE = 3 * bodies.MAX_BUFFERED


class RawWorker:
    """A worker that leaves reading and writing to the test."""

    async def __aenter__(self):
        self.calls = asyncio.Queue()
        self.server = await asyncio.start_server(self._serve, HOST, 0, limit=4 * 1024 * 1024)
        self.port = self.server.sockets[0].getsockname()[1]
        self.writers = []
        return self

    async def __aexit__(self, *_):
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.append(writer)
        await self.calls.put((reader, writer))

    async def asked(self):
        """The head of a request, with its reader and writer."""
        reader, writer = await self.calls.get()
        return (await reader.readuntil(b"\r\n\r\n")).decode(), reader, writer


def at_gate(scenario, script=None):
    async def whole():
        async with RawWorker() as worker, Gate(script or Script(), known=[entry("w1", worker.port)]) as gate:
            await scenario(worker, gate, await gate.client())

    run(whole())


def upload(length, extra=""):
    """The head of a request with a large body."""
    return (
        request(path="/debit", body=b"x").replace(b"Length: 1", b"Length: %d" % length)[:-3]
        + extra.encode()
        + b"\r\n"
    )


async def until(true):
    while not true():
        await asyncio.sleep(0.001)


@pytest.mark.parametrize("framing", ["length", "chunks"])
def test_a_large_answer_is_passed_on_before_it_is_whole(framing):
    async def scenario(worker, gate, client):
        client.send(request())
        _, _, writer = await worker.asked()
        half = bytes(range(256)) * 512
        if framing == "length":
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (2 * len(half)) + half)
        else:
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n" % len(half) + half)
        head = await client.reader.readuntil(b"\r\n\r\n")
        assert (b"chunked" in head) == (framing == "chunks") and b" 200 " in head
        started = await gate.script.event(ResponseStarted)
        assert started.attempt == 0 and len(gate.gateway.open) == 1
        writer.write(half if framing == "length" else b"\r\n%x\r\n%s\r\n0\r\n\r\n" % (len(half), half))
        got = b""
        while framing == "length" and len(got) < 2 * len(half):
            got += await client.reader.read(1 << 20)
        while framing == "chunks":
            size = int(await client.reader.readline(), 16)
            got += await client.reader.readexactly(size)
            assert await client.reader.readline() == b"\r\n"
            if not size:
                break
        assert got == 2 * half
        outcome = await gate.script.event(AttemptEnded)
        assert outcome.result is AttemptResult.OK and outcome.final and not gate.gateway.open
        client.send(request())  # the connection stays
        await gate.script.event(RequestArrived)

    at_gate(scenario)


def test_an_answer_that_breaks_off_is_seen_to_be_cut_and_is_not_tried_again():
    async def scenario(worker, gate, client):
        client.send(request())
        _, _, writer = await worker.asked()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + bytes(100_000))
        await client.reader.readuntil(b"\r\n\r\n")
        await gate.script.event(ResponseStarted)
        writer.transport.abort()
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
            await client.reader.readexactly(200_000)
        outcome = await gate.script.event(AttemptEnded)
        assert outcome.result is AttemptResult.RESET and outcome.final
        assert gate.gateway.metrics.operations["look", FinalStatus.FAULTED] == 1

    at_gate(scenario)


def test_an_answer_without_a_length_ends_with_its_connection():
    """Seen on a day with slow peers: it was taken for a reset."""

    async def scenario(worker, gate, client):
        client.send(request())
        _, _, writer = await worker.asked()
        writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nall there is")
        writer.close()
        assert (await client.answer())[::2] == (200, b"all there is")

    at_gate(scenario)


def test_a_client_that_does_not_read_holds_its_endpoint_back_not_our_memory():
    async def scenario(worker, gate, client):
        client.reader._transport.pause_reading()
        client.send(request())
        _, _, writer = await worker.asked()
        total = 32 * 1024 * 1024
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % total + bytes(total))
        await gate.script.event(ResponseStarted)
        (one,) = gate.gateway.connections.all
        await until(lambda: not one.response_source.transport.is_reading())
        assert one.transport.get_write_buffer_size() < 1024 * 1024
        client.reader._transport.resume_reading()
        await client.reader.readuntil(b"\r\n\r\n")
        left = total
        while left:
            left -= len(await client.reader.read(1 << 20))
        assert (await gate.script.event(AttemptEnded)).result is AttemptResult.OK

    at_gate(scenario)


@pytest.mark.parametrize("chunked", [False, True])
def test_a_large_body_is_passed_on_while_it_comes(chunked):
    async def scenario(worker, gate, client):
        body = bytes(range(256)) * (LARGE // 256)
        if chunked:
            head = request(path="/debit", extra="Transfer-Encoding: chunked\r\n").replace(b"GET", b"POST")
            client.send(head + b"%x;ext=1\r\n" % LARGE + body[:-1])
        else:
            client.send(upload(LARGE) + body[:-1])
        assert not (await gate.script.event(RequestArrived)).is_complete
        head, reader, writer = await worker.asked()
        await gate.script.event(BodyReleased)
        assert not [one for one in gate.script.events if isinstance(one, RequestCompleted)]
        assert gate.gateway.metrics.relayed == 0  # not whole at the worker yet
        client.send(body[-1:] + (b"\r\n0\r\nX-Trailer: t\r\n\r\n" if chunked else b""))
        got = b""
        while len(got) < LARGE:
            if chunked:
                size = int(await reader.readline(), 16)
                got += await reader.readexactly(size)
                await reader.readline()
            else:
                got += await reader.readexactly(LARGE - len(got))
        assert got == body
        await gate.script.event(RequestCompleted)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        assert (await client.answer())[::2] == (200, b"ok")
        assert gate.gateway.metrics.relayed == 1

    at_gate(scenario)


def test_an_endpoint_that_does_not_read_holds_its_client_back_not_our_memory(monkeypatch):
    async def scenario(worker, gate, client):
        total = 32 * 1024 * 1024
        client.send(upload(total) + bytes(total))
        _, writer = await worker.calls.get()
        writer.transport.pause_reading()
        (one,) = gate.gateway.connections.all
        (attempt,) = gate.gateway.attempts.values()
        await until(lambda: attempt.connection and attempt.connection.blocked and one.held_ms)
        assert attempt.connection.transport.get_write_buffer_size() < 1024 * 1024
        gate.gateway.connections.sweep(gate.gateway.clock.now() + 60_000, False)
        assert not one.ending  # the delay is not the client's
        gate.gateway.upstreams._sweep()
        assert gate.gateway.attempts and attempt.connection.waits
        monkeypatch.setattr(workers, "UPLOAD_STALL_MS", -1.0)
        gate.gateway.upstreams._sweep()  # but one that never takes anything is not waited for
        assert (await gate.script.event(AttemptEnded)).result is AttemptResult.CONNECT_FAILED
        assert (await client.answer())[0] == 502  # as the script has it

    at_gate(scenario)


def test_a_refused_client_that_still_sends_is_told_at_once_and_keeps_its_connection():
    class Refusing(Script):
        def handle(self, now, events):
            return [Reject(one.id) for one in events if isinstance(one, RequestArrived)]

    async def scenario(worker, gate, client):
        client.send(upload(LARGE) + bytes(1000))
        assert (await client.answer())[0] == 503
        client.send(bytes(LARGE - 1000) + request())
        assert (await client.answer())[0] == 503
        assert not gate.gateway.open

    at_gate(scenario, Refusing())


def test_a_client_that_leaves_while_it_sends_ends_its_attempt():
    async def scenario(worker, gate, client):
        client.send(upload(LARGE) + bytes(bodies.MAX_BUFFERED))
        _, reader, _ = await worker.asked()
        client.close()
        assert (
            await gate.script.event(AttemptEnded)
        ).result is AttemptResult.NOT_SENT  # the worker is not to blame
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
            await reader.readexactly(LARGE)
        assert not gate.gateway.open and not gate.gateway.attempts

    at_gate(scenario)


def test_a_client_that_leaves_while_its_body_is_held_back_is_noticed():
    """Nothing is read from it then, and the end of its connection lies behind what it has sent."""

    async def scenario(worker, gate, client):
        client.send(upload(LARGE) + bytes(bodies.MAX_BUFFERED))
        came = await gate.script.event(RequestArrived)
        await until(lambda: gate.gateway.open[came.id].client.held_ms)
        client.close()
        async with asyncio.timeout(5):
            assert (await gate.script.event(ClientDisconnected)).id == came.id

    at_gate(scenario, Script(worker=None))


class Ends:
    """A client and a worker's connection, as an upload sees them."""

    def __init__(self):
        self.is_body_released, self.gone, self.blocked, self.text = False, False, False, b""

    def on_body_released(self):
        self.is_body_released = True

    def is_disconnected(self):
        return self.gone

    def write_last(self, data):
        self.text += data


@pytest.mark.parametrize(
    ("length", "text"), [(4, b"head\r\n\r\nbody"), (None, b"head\r\n\r\n4\r\nbody\r\n0\r\n\r\n")]
)
def test_a_body_that_was_whole_before_its_endpoint_goes_to_one_endpoint_alone(length, text):
    """It was not said to be gone: a further attempt went out with its head and nothing of its body."""
    client, sink = Ends(), Ends()
    body = bodies.Upload(client, length, b"")
    body.feed(b"body")
    body.end()
    assert body.may_send()
    body.attach(sink, b"head\r\n\r\n")
    assert sink.text == text and client.is_body_released and not body.may_send()


def test_a_body_whose_client_has_left_unread_goes_to_no_endpoint():
    client = Ends()
    client.gone = True
    assert not bodies.Upload(client, 4, b"body").may_send()


def test_of_two_attempts_that_wait_with_one_body_the_second_is_not_written():
    async def scenario(worker, gate, client):
        client.send(upload(LARGE) + bytes(bodies.MAX_BUFFERED))
        came = await gate.script.event(RequestArrived)
        await gate.script.event(BodyReleased)
        await worker.asked()
        gate.script.to_do = [SendAttempt(came.id, "w1", 9000.0)]
        gate.gateway.enqueue(TimerFired("hedge"))
        done = await gate.script.event(AttemptEnded)
        assert (done.attempt, done.result) == (1, AttemptResult.NOT_SENT) and worker.calls.empty()

    at_gate(scenario)


def test_a_body_broken_off_by_its_endpoint_has_never_run():
    async def scenario(worker, gate, client):
        client.send(upload(LARGE) + bytes(bodies.MAX_BUFFERED))
        _, _, writer = await worker.asked()
        await gate.script.event(BodyReleased)
        writer.transport.abort()
        assert (await gate.script.event(AttemptEnded)).result is AttemptResult.CONNECT_FAILED
        assert (await client.answer())[0] == 502  # as the script has it

    at_gate(scenario)


@pytest.mark.parametrize(("per_s", "stays"), [(64_000, True), (8_000, False)])
def test_a_body_may_come_slowly_but_must_come(per_s, stays):
    async def scenario(worker, gate, client):
        client.send(upload(200_000) + bytes(4 * per_s - 10))
        await until(lambda: any(one.body_size for one in gate.gateway.connections.all))
        (one,) = gate.gateway.connections.all
        await until(lambda: one.body_size == 4 * per_s - 10 or one.body_size >= 190_000)
        gate.gateway.connections.sweep(gate.gateway.clock.now() + 4000, False)
        assert one.ending is not stays and INPUT_TIMEOUT_MS < 4000

    at_gate(scenario)


def test_a_client_that_waits_to_be_told_is_told_to_send():
    async def scenario(worker, gate, client):
        client.send(request(path="/debit", body=b"body", extra="Expect: 100-continue\r\n")[:-4])
        assert await client.reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
        client.send(b"body")
        head, reader, writer = await worker.asked()
        assert await reader.readexactly(4) == b"body" and "expect" not in head.lower()
        writer.write(b"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        assert (await client.answer())[::2] == (200, b"ok")

    at_gate(scenario)


def test_an_answer_of_which_nothing_moves_is_ended(monkeypatch):
    async def scenario(worker, gate, client):
        client.send(request())
        _, _, writer = await worker.asked()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + bytes(100_000))
        await gate.script.event(ResponseStarted)
        monkeypatch.setattr(workers, "STALL_MS", -1.0)
        gate.gateway.upstreams._sweep()
        gate.gateway.upstreams._sweep()  # by now nothing has changed since the last look
        assert (await gate.script.event(AttemptEnded)).result is AttemptResult.RESET and not gate.gateway.open

    at_gate(scenario)
