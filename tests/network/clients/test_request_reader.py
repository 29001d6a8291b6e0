"""Tests of the request reader: its events, states and limits."""

import itertools

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from gateway.network.clients import request_reader
from gateway.network.clients.received_request import ReceivedRequest
from gateway.network.clients.request_events import (
    BodyCompleted,
    BodyReceived,
    HeadReceived,
    LargeBodyStarted,
    MessageStarted,
    RequestReceived,
    RequestRejected,
)
from gateway.network.clients.request_reader import ReaderState, RequestReader

MAX_HEAD_BYTES = 200
MAX_BODY_BYTES = 100
MAX_BUFFERED_BYTES = 20

STARTED = MessageStarted()
HEAD = HeadReceived(keep_alive=True, expects_continue=False)
GET = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
GET_RECEIVED = RequestReceived(ReceivedRequest(b"GET", b"/a", {}, b"", None), keep_alive=True)
CHUNKED = b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"


@pytest.fixture(autouse=True, scope="module")
def small_limits():
    """Lower the limits, so that short inputs reach them."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(request_reader, "MAX_HEAD_BYTES", MAX_HEAD_BYTES)
        patch.setattr(request_reader, "MAX_BODY_BYTES", MAX_BODY_BYTES)
        patch.setattr(request_reader, "MAX_BUFFERED_BYTES", MAX_BUFFERED_BYTES)
        yield


def post_request(length, body=b"", fields=b""):
    return b"POST /a HTTP/1.1\r\nContent-Length: %d\r\n%s\r\n" % (length, fields) + body


def post_received(body, headers, keep_alive=True):
    return RequestReceived(ReceivedRequest(b"POST", b"/a", headers, body, None), keep_alive)


def large_body_started(length, first_part=b""):
    headers = {b"transfer-encoding": b"chunked"} if length is None else {b"content-length": b"%d" % length}
    return LargeBodyStarted(b"POST", b"/a", headers, length, first_part)


# For each case: the inputs of `feed`, the events that each call returns, and the state after the last call.
TRANSITIONS = {
    "nothing but blank lines": ([b"\r\n\r\n"], [[]], ReaderState.IDLE),
    "first byte": ([b"G"], [[STARTED]], ReaderState.HEAD),
    "head": ([b"GET /a HT", b"TP/1.1\r\nHost: h\r\n"], [[STARTED], []], ReaderState.HEAD),
    "request without a body": ([GET], [[STARTED, HEAD, GET_RECEIVED]], ReaderState.IDLE),
    "two requests in one input": ([GET + GET], [[STARTED, HEAD, GET_RECEIVED] * 2], ReaderState.IDLE),
    "buffered body": (
        [post_request(4, b"ab"), b"cd"],
        [[STARTED, HEAD], [post_received(b"abcd", {b"content-length": b"4"})]],
        ReaderState.IDLE,
    ),
    "part of a buffered body": ([post_request(4, b"ab")], [[STARTED, HEAD]], ReaderState.BODY),
    "large body by its length": (
        [post_request(21), b"ab"],
        [[STARTED, HEAD, large_body_started(21)], [BodyReceived(b"ab")]],
        ReaderState.LARGE_BODY,
    ),
    "complete large body": (
        [post_request(21), bytes(21)],
        [[STARTED, HEAD, large_body_started(21)], [BodyReceived(bytes(21)), BodyCompleted()]],
        ReaderState.LARGE_BODY_RECEIVED,
    ),
    "request after a large body": (
        [post_request(21, bytes(21)), GET],
        [
            [STARTED, HEAD, large_body_started(21), BodyReceived(bytes(21)), BodyCompleted()],
            [STARTED, HEAD, GET_RECEIVED],
        ],
        ReaderState.IDLE,
    ),
    "large body by its chunks": (
        [CHUNKED, b"f\r\n" + bytes(15) + b"\r\n", b"6\r\n" + bytes(6) + b"\r\n", b"1\r\nx\r\n0\r\n\r\n"],
        [[STARTED, HEAD], [], [large_body_started(None, bytes(21))], [BodyReceived(b"x"), BodyCompleted()]],
        ReaderState.LARGE_BODY_RECEIVED,
    ),
    "expected status 100": (
        [post_request(1, fields=b"Expect: 100-Continue\r\n")],
        [[STARTED, HeadReceived(keep_alive=True, expects_continue=True)]],
        ReaderState.BODY,
    ),
    "connection close": (
        [post_request(1, b"x", fields=b"Connection: close\r\n")],
        [
            [
                STARTED,
                HeadReceived(keep_alive=False, expects_continue=False),
                post_received(b"x", {b"content-length": b"1"}, keep_alive=False),
            ]
        ],
        ReaderState.IDLE,
    ),
    "trailers": (
        [CHUNKED + b"0\r\nX-Tier: other\r\n\r\n"],
        [[STARTED, HEAD, post_received(b"", {b"transfer-encoding": b"chunked"})]],
        ReaderState.IDLE,
    ),
}


@pytest.mark.parametrize("name", TRANSITIONS)
def test_inputs_cause_the_expected_events_and_state(name):
    pieces, events, state = TRANSITIONS[name]
    reader = RequestReader()
    assert [reader.feed(piece) for piece in pieces] == events
    assert reader.state is state


# For each case: the input, the status of the rejection, and the events before it.
REJECTIONS = {
    "not HTTP": (b"\x00 noise\r\n\r\n", 400, [STARTED]),
    "repeated field": (b"GET /a HTTP/1.1\r\nX-Tier: a\r\nX-Tier: a\r\n\r\n", 400, [STARTED, HEAD]),
    "repeated field in an incomplete head": (
        b"GET /a HTTP/1.1\r\nX-Tier: a\r\nX-Tier: a\r\nX",
        400,
        [STARTED],
    ),
    "length and chunked coding": (post_request(1, fields=b"Transfer-Encoding: chunked\r\n"), 400, [STARTED]),
    "malformed length": (b"POST /a HTTP/1.1\r\nContent-Length: x\r\n\r\n", 400, [STARTED]),
    "length above the limit": (post_request(101), 413, [STARTED]),
    "length with too many digits": (
        b"POST /a HTTP/1.1\r\nContent-Length: 0000000000001\r\n\r\n",
        413,
        [STARTED],
    ),
    "repeated field and length above the limit": (
        post_request(101, fields=b"X-Tier: a\r\nX-Tier: a\r\n"),
        413,
        [STARTED],
    ),
    "long head": (b"GET /a HTTP/1.1\r\nX-Long: " + b"x" * 200 + b"\r\n\r\n", 431, [STARTED]),
    "long target": (b"GET /" + b"x" * 200 + b" HTTP/1.1\r\nHost: h\r\n\r\n", 431, [STARTED]),
    "long trailers": (CHUNKED + b"0\r\nX-Long: " + b"x" * 200 + b"\r\n\r\n", 431, [STARTED, HEAD]),
    "chunks above the limit": (
        CHUNKED + b"65\r\n" + bytes(101) + b"\r\n0\r\n\r\n",
        413,
        [STARTED, HEAD],
    ),
    "malformed chunk": (CHUNKED + b"z\r\n", 400, [STARTED, HEAD]),
    "malformed bytes after a request": (GET + b"\x00", 400, [STARTED, HEAD, GET_RECEIVED, STARTED]),
    "upgrade": (
        b"GET /a HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
        400,
        [STARTED, HEAD, GET_RECEIVED],
    ),
}


@pytest.mark.parametrize("name", REJECTIONS)
def test_unacceptable_bytes_are_rejected_and_later_bytes_ignored(name):
    data, status, events = REJECTIONS[name]
    reader = RequestReader()
    assert reader.feed(data) == [*events, RequestRejected(status)]
    assert reader.state is ReaderState.REJECTED
    assert reader.feed(GET) == []


def test_head_is_rejected_above_its_limit_on_the_wire():
    reader = RequestReader()
    reader.feed(b"\r\n" * 100)
    assert reader.check_raw_size() is None
    reader.feed(b"\r\n")
    assert reader.check_raw_size() == RequestRejected(431)
    reader.expect_next_message()
    assert reader.check_raw_size() is None


def test_body_is_rejected_above_its_limit_on_the_wire(monkeypatch):
    monkeypatch.setattr(request_reader, "MAX_RAW_OVERHEAD_BYTES", 300)
    reader = RequestReader()
    reader.feed(CHUNKED + b"1;" + b"x" * (306 - len(CHUNKED) - 7) + b"\r\na\r\n")
    assert reader.check_raw_size() is None
    reader.feed(b"1;xxx")
    assert reader.check_raw_size() == RequestRejected(413)


def test_bytes_after_a_large_body_count_toward_the_limit_of_the_body():
    reader = RequestReader()
    reader.feed(post_request(100, bytes(100)) + b"\r\n" * 50)
    assert reader.state is ReaderState.LARGE_BODY_RECEIVED
    assert reader.check_raw_size() is None
    reader.expect_next_message()
    assert reader.state is ReaderState.IDLE


@pytest.mark.parametrize(("version", "supported"), [(b"1.1", True), (b"1.0", False)])
def test_chunked_coding_is_supported_in_http_1_1_only(version, supported):
    reader = RequestReader()
    reader.feed(GET.replace(b"1.1", version))
    assert reader.supports_chunks is supported


def join_large_bodies(events):
    """Return the events with the parts of each large body joined to its LargeBodyStarted."""
    result = []
    for event in events:
        if isinstance(event, BodyReceived) and isinstance(result[-1], LargeBodyStarted):
            start = result[-1]
            body = start.first_part + event.data
            result[-1] = LargeBodyStarted(start.method, start.target, start.headers, start.length, body)
        else:
            result.append(event)
    return result


def chunked_request(body, size):
    """Return a request whose body is sent in chunks of `size` bytes."""
    pieces = [body[at : at + size] for at in range(0, len(body), size)]
    return CHUNKED + b"".join(b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces) + b"0\r\n\r\n"


BODIES = st.binary(max_size=60)
MESSAGES = st.one_of(
    st.just(GET),
    st.just(b"\r\n"),
    BODIES.map(lambda body: post_request(len(body), body)),
    st.builds(chunked_request, BODIES, st.integers(1, 60)),
)


@hypothesis_settings(max_examples=200, deadline=None)
@given(
    messages=st.lists(MESSAGES, min_size=1, max_size=4),
    ending=st.sampled_from([b"", b"GET /a", b"\x00", CHUNKED + b"z\r\n", post_request(30, b"ab")]),
    cuts=st.lists(st.integers(0, 400), max_size=12),
)
def test_events_do_not_depend_on_the_split_of_the_input(messages, ending, cuts):
    data = b"".join(messages) + ending
    bounds = [0, *sorted(cut for cut in cuts if cut < len(data)), len(data)]
    reader = RequestReader()
    split = []
    for start, end in itertools.pairwise(bounds):
        split += reader.feed(data[start:end])
    assert join_large_bodies(split) == join_large_bodies(RequestReader().feed(data))
