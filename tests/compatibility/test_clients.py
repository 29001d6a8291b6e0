"""Tests that compare the responses which the gateway itself sends to clients with recordings."""

import asyncio

import pytest
from support.http_messages import http_request, http_response
from support.recordings import BOOK_REQUEST, check_json_recording, fetch_raw_response, modified_request
from support.scripted_controller import ScriptedController

from gateway.interface.actions import Fail, Reject
from gateway.interface.events import RequestArrived
from gateway.network.process_role import ServicePhase

LOOK_REQUEST = {"path": "/look"}
READINESS_REQUEST = b"GET /up HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
SETTLE_S = 0.05  # time for the gateway to read a pipelined request

# Invalid requests by their names in the recording.
BAD_REQUESTS = {
    "no HTTP": b"what is this\r\n\r\n",
    "no path": modified_request(b"GET /look", b"GET look", **LOOK_REQUEST),
    "unknown class": modified_request(b"/look", b"/nothing", **LOOK_REQUEST),
    "wrong method": modified_request(b"GET", b"PUT", **LOOK_REQUEST),
    "GET with a body": modified_request(b"\r\n\r\n", b"\r\nContent-Length: 2\r\n\r\nab", **LOOK_REQUEST),
    "no key": modified_request(b"Idempotency-Key: k1\r\n", b"", **BOOK_REQUEST),
    "malformed key": modified_request(b"k1", b"k 1", **BOOK_REQUEST),
    "key on a class without": modified_request(
        b"\r\n\r\n", b"\r\nIdempotency-Key: k\r\n\r\n", **LOOK_REQUEST
    ),
    "no id": modified_request(b"X-Request-Id: 00000000000000e1\r\n", b"", **LOOK_REQUEST),
    "malformed id": modified_request(b"00000000000000e1", b"e/1", **LOOK_REQUEST),
    "malformed customer": modified_request(b"00000000b4d65521", b"b4d65521", **LOOK_REQUEST),
    "customer out of range": modified_request(b"00000000b4d65521", b"f0000000b4d65521", **LOOK_REQUEST),
    "unknown plan": modified_request(b"basic", b"golden", **LOOK_REQUEST),
    "malformed deadline": modified_request(b"X-Deadline-Ms: 10000", b"X-Deadline-Ms: soon", **LOOK_REQUEST),
    "zero deadline": modified_request(b"X-Deadline-Ms: 10000", b"X-Deadline-Ms: 0", **LOOK_REQUEST),
    "no terms": modified_request(b"X-Call-Terms: units=1,spread=2,first=0\r\n", b"", **LOOK_REQUEST),
    "a term twice": modified_request(b"units=1", b"units=1,units=1", **LOOK_REQUEST),
    "units out of range": modified_request(b"units=1", b"units=9999", **LOOK_REQUEST),
    "spread out of range": modified_request(b"spread=2", b"spread=4", **LOOK_REQUEST),
    "first out of range": modified_request(b"first=0", b"first=3", **LOOK_REQUEST),
    "a header twice": modified_request(b"X-Tier: basic", b"X-Tier: basic\r\nX-Tier: basic", **LOOK_REQUEST),
    "malformed length": modified_request(b"Content-Length: 4", b"Content-Length: four", **BOOK_REQUEST),
    "length and chunks": modified_request(
        b"Content-Length: 4", b"Content-Length: 4\r\nTransfer-Encoding: chunked", **BOOK_REQUEST
    ),
    "too large": modified_request(b"Content-Length: 4", b"Content-Length: 999999999", **BOOK_REQUEST),
    "too long a head": modified_request(b"Host: h", b"Host: h\r\nX-Long: " + b"x" * 20_000, **LOOK_REQUEST),
    "close asked for": modified_request(
        b"X-Tier: basic", b"X-Tier: golden\r\nConnection: close", **LOOK_REQUEST
    ),
}


async def test_responses_to_invalid_requests_match_the_recording(running_gateway):
    responses = {
        name: await fetch_raw_response(running_gateway.port, data) for name, data in BAD_REQUESTS.items()
    }
    check_json_recording("bad-input.json", responses)


class AnsweringController(ScriptedController):
    """Rejects a request without or with Retry-After, or fails it, if its id modulo 3 is 0, 1 or 2."""

    def handle(self, now, events):
        answers = (Reject, lambda request_id: Reject(request_id, 1234.5), Fail)
        return [answers[event.id % 3](event.id) for event in events if isinstance(event, RequestArrived)]


@pytest.mark.scripted_controller(factory=AnsweringController)
async def test_responses_to_rejected_and_failed_requests_and_readiness_match_the_recording(
    running_gateway, gateway
):
    port = running_gateway.port
    requests = [http_request(extra=extra) for extra in ("", "", "", "Connection: close\r\n")]
    responses = [await fetch_raw_response(port, request) for request in requests]
    responses.append(await fetch_raw_response(port, READINESS_REQUEST))
    gateway.role.phase = ServicePhase.STARTING
    responses.append(await fetch_raw_response(port, READINESS_REQUEST))
    check_json_recording("final-answers.json", responses)


async def test_responses_to_an_id_in_use_and_to_pipelined_requests_match_the_recording(
    endpoint, running_gateway, client
):
    client.send(http_request("00000000000000d1"))
    _, writer = await endpoint.next_request()
    responses = [await fetch_raw_response(running_gateway.port, http_request("00000000000000d1"))]
    client.send(http_request("00000000000000d2"))
    await asyncio.sleep(SETTLE_S)
    writer.write(http_response(body=b"first"))
    responses.append((await client.reader.read()).decode())
    check_json_recording("in-use.json", responses)
