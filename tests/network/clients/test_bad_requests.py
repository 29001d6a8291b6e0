"""Tests of the responses to requests that the gateway does not accept."""

import asyncio

import pytest
from support.http_messages import http_request, http_response

from gateway.interface.events import RequestArrived
from gateway.network.clock import Timers

# Requests after whose error response the gateway closes the connection, and the status of the response.
REQUESTS_THAT_CLOSE_THE_CONNECTION = {
    "not HTTP": (b"\x00\x01\x02 what\r\n\r\n", 400),
    "missing id": (http_request().replace(b"X-Request-Id", b"X-Other"), 400),
    "repeated id": (http_request(extra="X-Request-Id: 00000000000000ff\r\n"), 400),
    "malformed deadline": (http_request(deadline="soon"), 400),
    "negative deadline": (http_request(deadline=-5), 400),
    "malformed units": (http_request().replace(b"units=1", b"units=x"), 400),
    "units NaN": (http_request().replace(b"units=1", b"units=nan"), 400),
    "spread out of range": (http_request().replace(b"spread=2", b"spread=9"), 400),
    "first out of range": (http_request().replace(b"first=0", b"first=-1"), 400),
    "missing idempotency key": (http_request(path="/book", body=b"x"), 400),
    "negative length": (http_request(body=b"x").replace(b"Length: 1", b"Length: -1"), 400),
    "length and chunked coding": (http_request(body=b"x", extra="Transfer-Encoding: chunked\r\n"), 400),
    "body too large by its length": (http_request(body=b"x").replace(b"Length: 1", b"Length: 65537"), 413),
    "body too large by its chunks": (
        http_request(extra="Transfer-Encoding: chunked\r\n").replace(b"GET", b"POST")
        + b"".join(b"4000\r\n" + bytes(0x4000) + b"\r\n" for _ in range(5)),
        413,
    ),
    "head too large": (http_request(extra="X-Filler: " + "x" * 40_000 + "\r\n"), 431),
    "incomplete head too large": (b"GET /look HTTP/1.1\r\nX-Filler: " + b"x" * 40_000, 431),
}


@pytest.mark.parametrize("name", REQUESTS_THAT_CLOSE_THE_CONNECTION)
async def test_unacceptable_request_gets_an_error_and_other_connections_stay_open(
    name, monkeypatch, endpoint, gateway, running_gateway, client
):
    data, status = REQUESTS_THAT_CLOSE_THE_CONNECTION[name]
    monkeypatch.setattr("gateway.network.clients.request_reader.MAX_BODY_BYTES", 64 * 1024)
    other = await running_gateway.connect()
    other.send(http_request())
    _, writer = await endpoint.next_request()
    assert (await client.send(data).next_response()).status == status and await client.is_closed_by_peer()
    writer.write(http_response())
    assert (await other.next_response()).status == 200
    assert len(gateway.requests.open_requests) == 0 and endpoint.requests.empty()


async def test_request_with_the_id_of_an_open_or_recent_request_gets_a_409(
    endpoint, gateway, running_gateway, client
):
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
    assert not gateway.requests.ids.to_strings()


# Requests after whose error response the connection stays open, and the status of the response.
REQUESTS_THAT_KEEP_THE_CONNECTION = {
    "unknown class": (http_request(path="/looks"), 404),
    "unknown plan": (http_request().replace(b"basic", b"golden"), 400),
    "customer number above 2^33": (http_request().replace(b"00000000b4d65521", b"10990c1ab00459d1"), 400),
    "customer with a non-hexadecimal digit": (
        http_request().replace(b"00000000b4d65521", b"00000000b4d6552g"),
        400,
    ),
    "malformed id": (http_request().replace(b"X-Request-Id: ", b"X-Request-Id: \x80"), 400),
    "GET of a class that is not idempotent": (http_request(path="/debit"), 405),
    "POST of an idempotent class": (http_request(body=b"x"), 405),
    "GET with a body": (http_request(extra="Content-Length: 1\r\n") + b"x", 400),
    "key on a class that takes none": (http_request(path="/debit", key="k", body=b"x"), 400),
    "malformed key": (http_request(path="/book", key="a b", body=b"x"), 400),
    "units with an underscore": (http_request().replace(b"units=1", b"units=1_0"), 400),
    "units in exponent notation": (http_request().replace(b"units=1", b"units=1e12"), 400),
    "repeated units": (http_request().replace(b"units=1", b"units=1,units=1"), 400),
    "fractional spread": (http_request().replace(b"spread=2", b"spread=2.5"), 400),
    "missing spread": (http_request().replace(b"spread=2,", b""), 400),
}


@pytest.mark.parametrize("name", REQUESTS_THAT_KEEP_THE_CONNECTION)
async def test_malformed_request_gets_an_error_without_an_event_and_the_connection_stays_open(
    name, endpoint, controller, client
):
    data, status = REQUESTS_THAT_KEEP_THE_CONNECTION[name]
    assert (await client.send(data).next_response()).status == status
    client.send(http_request())
    _, writer = await endpoint.next_request()
    writer.write(http_response())
    assert (await client.next_response()).status == 200
    assert len([event for event in controller.events if isinstance(event, RequestArrived)]) == 1


async def test_pause_after_each_rejected_request_doubles_up_to_its_maximum(gateway, client):
    """The error responses are sent without delay; only the reading pauses."""
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


async def test_rejected_request_with_pipelined_bytes_gets_its_error_and_then_a_400(endpoint, client):
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


async def test_client_that_sends_a_too_large_body_completely_receives_the_error(client):
    client.send(http_request(path="/debit", body=b"x").replace(b"Length: 1", b"Length: 70000000"))
    for _ in range(64):
        client.send(bytes(256 * 1024))
        await client.writer.drain()
    assert (await client.next_response()).status == 413 and await client.is_closed_by_peer()


async def test_internal_error_while_reading_gets_a_400(gateway, client, monkeypatch):
    def fail(*_):
        raise RuntimeError("internal error")

    monkeypatch.setattr(gateway.frontend, "open_request", fail)
    response = await client.send(http_request()).next_response()
    assert response.status == 400 and await client.is_closed_by_peer()
