"""Tests of the responses to bad requests."""

import asyncio

import pytest
from support.http_messages import http_request, http_response

from gateway.interface.events import RequestArrived
from gateway.network.clock import Timers

UNACCEPTABLE = {
    "noise": (b"\x00\x01\x02 what\r\n\r\n", 400),
    "no id": (http_request().replace(b"X-Request-Id", b"X-Other"), 400),
    "two ids": (http_request(extra="X-Request-Id: 00000000000000ff\r\n"), 400),
    "deadline": (http_request(deadline="soon"), 400),
    "negative deadline": (http_request(deadline=-5), 400),
    "units": (http_request().replace(b"units=1", b"units=x"), 400),
    "units not a number": (http_request().replace(b"units=1", b"units=nan"), 400),
    "spread": (http_request().replace(b"spread=2", b"spread=9"), 400),
    "first": (http_request().replace(b"first=0", b"first=-1"), 400),
    "keyed without a key": (http_request(path="/book", body=b"x"), 400),
    "negative length": (http_request(body=b"x").replace(b"Length: 1", b"Length: -1"), 400),
    "length and chunks": (http_request(body=b"x", extra="Transfer-Encoding: chunked\r\n"), 400),
    "large body": (http_request(body=b"x").replace(b"Length: 1", b"Length: 65537"), 413),
    "large chunks": (
        http_request(extra="Transfer-Encoding: chunked\r\n").replace(b"GET", b"POST")
        + b"".join(b"4000\r\n" + bytes(0x4000) + b"\r\n" for _ in range(5)),
        413,
    ),
    "large head": (http_request(extra="X-Filler: " + "x" * 40_000 + "\r\n"), 431),
    "head without end": (b"GET /look HTTP/1.1\r\nX-Filler: " + b"x" * 40_000, 431),
}


@pytest.mark.parametrize("name", UNACCEPTABLE)
async def test_unacceptable_request_gets_an_error_and_harms_no_other_connection(
    name, monkeypatch, endpoint, gateway, running_gateway, client
):
    data, status = UNACCEPTABLE[name]
    monkeypatch.setattr("gateway.network.clients.request_reader.MAX_BODY_BYTES", 64 * 1024)
    other = await running_gateway.connect()
    other.send(http_request())
    _, writer = await endpoint.next_request()
    assert (await client.send(data).next_response()).status == status and await client.is_closed_by_peer()
    writer.write(http_response())
    assert (await other.next_response()).status == 200
    assert len(gateway.requests.open) == 0 and endpoint.requests.empty()


async def test_id_of_an_open_or_recent_request_is_rejected(endpoint, gateway, running_gateway, client):
    other = await running_gateway.connect()
    client.send(http_request("00000000000000aa"))
    _, writer = await endpoint.next_request()
    assert (
        await other.send(http_request("00000000000000aa", "/debit", body=b"x")).next_response()
    ).status == 409
    writer.write(http_response(body=b"first"))
    assert (await client.next_response()).body == b"first"
    assert (await other.send(http_request("00000000000000aa")).next_response()).status == 409
    assert endpoint.requests.empty()
    gateway.requests.rotate_ids()
    gateway.requests.rotate_ids()
    assert not gateway.requests.ids.to_json()


MALFORMED = {
    "class": (http_request(path="/looks"), 404),
    "plan": (http_request().replace(b"basic", b"golden"), 400),
    "customer beyond 2^33": (http_request().replace(b"00000000b4d65521", b"10990c1ab00459d1"), 400),
    "customer in other digits": (http_request().replace(b"00000000b4d65521", b"00000000b4d6552g"), 400),
    "id": (http_request().replace(b"X-Request-Id: ", b"X-Request-Id: \x80"), 400),
    "GET of a class that is not idempotent": (http_request(path="/debit"), 405),
    "POST of an idempotent class": (http_request(body=b"x"), 405),
    "GET with a body": (http_request(extra="Content-Length: 1\r\n") + b"x", 400),
    "key on a class without": (http_request(path="/debit", key="k", body=b"x"), 400),
    "key": (http_request(path="/book", key="a b", body=b"x"), 400),
    "units in other digits": (http_request().replace(b"units=1", b"units=1_0"), 400),
    "units beyond the maximum": (http_request().replace(b"units=1", b"units=1e12"), 400),
    "units twice": (http_request().replace(b"units=1", b"units=1,units=1"), 400),
    "fractional spread": (http_request().replace(b"spread=2", b"spread=2.5"), 400),
    "no spread": (http_request().replace(b"spread=2,", b""), 400),
}


@pytest.mark.parametrize("name", MALFORMED)
async def test_malformed_request_is_rejected_before_the_controller_on_a_persistent_connection(
    name, endpoint, controller, client
):
    data, status = MALFORMED[name]
    assert (await client.send(data).next_response()).status == status
    client.send(http_request())
    _, writer = await endpoint.next_request()
    writer.write(http_response())
    assert (await client.next_response()).status == 200
    assert len([event for event in controller.events if isinstance(event, RequestArrived)]) == 1


async def test_repeated_bad_requests_are_read_with_backoff(gateway, client):
    """Each rejected request doubles the pause before the next is read; its error is sent at once."""
    gateway.frontend.timers = Timers(asyncio.get_running_loop(), gateway.clock)
    call_at = gateway.frontend.timers.call_at
    pauses_ms = []

    def call_now(at_ms, callback):
        pauses_ms.append(round(at_ms - gateway.clock.now()))
        call_at(0.0, callback)

    gateway.frontend.timers.call_at = call_now
    for _ in range(7):
        assert (await client.send(http_request(path="/none")).next_response()).status == 404
    assert pauses_ms == [50, 100, 200, 400, 800, 1000, 1000]


async def test_bad_request_with_pipelined_bytes_gets_its_error_and_a_400(endpoint, client):
    client.send(http_request(path="/none") * 300)
    assert (await client.next_response()).status == 404
    assert (await client.next_response()).status == 400 and await client.is_closed_by_peer()
    assert endpoint.requests.empty()


async def test_trailers_and_chunk_extensions_are_bounded_and_ignored(endpoint, running_gateway, client):
    head = http_request(path="/debit", extra="Transfer-Encoding: chunked\r\n").replace(b"GET", b"POST")
    client.send(head + b"1\r\nx\r\n0\r\nX-Tier: other\r\nIdempotency-Key: k\r\n\r\n")
    received, writer = await endpoint.next_request()
    assert received.body == b"x" and "idempotency-key" not in received.headers
    writer.write(http_response())
    assert (await client.next_response()).status == 200
    client.send(head + b"0\r\n" + b"X-Tier: other\r\n" * 2000)
    assert (await client.next_response()).status == 431
    client = await running_gateway.connect()
    client.send(head + (b"1;" + b"x" * 9000 + b"\r\nx\r\n") * 70)
    assert (await client.next_response()).status == 413


async def test_error_reaches_a_client_that_sends_its_large_body_to_the_end(client):
    client.send(http_request(path="/debit", body=b"x").replace(b"Length: 1", b"Length: 70000000"))
    for _ in range(64):
        client.send(bytes(256 * 1024))
        await client.writer.drain()
    assert (await client.next_response()).status == 413 and await client.is_closed_by_peer()


async def test_internal_error_while_reading_gets_a_400(gateway, client, monkeypatch):
    def fail(*_):
        raise RuntimeError("an error of the program")

    monkeypatch.setattr(gateway.frontend, "open_request", fail)
    response = await client.send(http_request()).next_response()
    assert response.status == 400 and await client.is_closed_by_peer()
