"""Tests of the response reader, without a socket."""

import itertools

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gateway.network.upstream import response_reader
from gateway.network.upstream.response_reader import (
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    BodyPart,
    MalformedReason,
    MalformedResponse,
    ReaderState,
    ResponseEnd,
    ResponseHead,
    ResponseReader,
    UnexpectedData,
)

OK = b"HTTP/1.1 200 OK\r\n"
SMALL = OK + b"Content-Length: 4\r\n\r\nbody"
SMALL_EVENTS = [ResponseHead(200, 4), BodyPart(b"body"), ResponseEnd(keep_alive=True)]
INTERIM = b"HTTP/1.1 103 Early Hints\r\nX-Not-Run: 1\r\nX-Load: {}\r\nContent-Type: a/b\r\n\r\n"

INTERIM_WITH_BODY = b"HTTP/1.1 199 X\r\nContent-Length: 4\r\n\r\nnone"


def read(*inputs):
    """Feed these inputs to a new reader; return the resulting events and the reader."""
    reader = ResponseReader()
    events = [event for data in inputs for event in reader.feed(data)]
    return events, reader


def malformed(reason):
    return MalformedResponse(reason)


@pytest.mark.parametrize(
    ("data", "events", "state"),
    [
        (b"HTTP/1.1 2", [], ReaderState.HEAD),
        (OK, [], ReaderState.HEAD),
        (OK + b"Content-Length: 4\r\n\r\n", [ResponseHead(200, 4)], ReaderState.BODY),
        (OK + b"Content-Length: 4\r\n\r\nbo", [ResponseHead(200, 4), BodyPart(b"bo")], ReaderState.BODY),
        (SMALL, SMALL_EVENTS, ReaderState.COMPLETE),
        (
            OK + b"Content-Length: 0\r\n\r\n",
            [ResponseHead(200, 0), ResponseEnd(keep_alive=True)],
            ReaderState.COMPLETE,
        ),
        (
            OK + b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n",
            [ResponseHead(200, None), BodyPart(b"body")],
            ReaderState.BODY,
        ),
        (
            OK + b"Transfer-Encoding: chunked\r\n\r\n1;x=y\r\nb\r\n3\r\nody\r\n0\r\nX-Load: {}\r\n\r\n",
            [ResponseHead(200, None), BodyPart(b"b"), BodyPart(b"ody"), ResponseEnd(keep_alive=True)],
            ReaderState.COMPLETE,
        ),
        (
            b"HTTP/1.1 204 No Content\r\n\r\n",
            [ResponseHead(204, None), ResponseEnd(keep_alive=True)],
            ReaderState.COMPLETE,
        ),
        (
            b"HTTP/1.1 304 Not Modified\r\n\r\n",
            [ResponseHead(304, None), ResponseEnd(keep_alive=True)],
            ReaderState.COMPLETE,
        ),
        (OK + b"\r\n", [ResponseHead(200, None)], ReaderState.BODY_UNTIL_EOF),
        (OK + b"\r\nbody", [ResponseHead(200, None), BodyPart(b"body")], ReaderState.BODY_UNTIL_EOF),
        (
            OK + b"Transfer-Encoding: gzip\r\n\r\nbody",
            [ResponseHead(200, None), BodyPart(b"body")],
            ReaderState.BODY,
        ),
        (
            OK + b"Connection: close\r\nContent-Length: 0\r\n\r\n",
            [ResponseHead(200, 0), ResponseEnd(keep_alive=False)],
            ReaderState.COMPLETE,
        ),
        (
            b"HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n",
            [ResponseHead(200, 0), ResponseEnd(keep_alive=False)],
            ReaderState.COMPLETE,
        ),
        (b"HTTP/1.1 100 Continue\r\n\r\n", [], ReaderState.HEAD),
        (b"HTTP/1.1 103 Early Hints\r\nContent-Length: 4\r\n\r\n", [], ReaderState.HEAD),
        (b"HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n", [], ReaderState.HEAD),
        (INTERIM + INTERIM + SMALL, SMALL_EVENTS, ReaderState.COMPLETE),
        (b"HTTP/1.1 199 X\r\nContent-Length: 4\r\n\r\nbo", [], ReaderState.INTERIM),
        (INTERIM_WITH_BODY, [], ReaderState.HEAD),
        (INTERIM_WITH_BODY + SMALL, SMALL_EVENTS, ReaderState.COMPLETE),
        (SMALL + b"\r\n\r\n", SMALL_EVENTS, ReaderState.COMPLETE),
        (SMALL + SMALL, [*SMALL_EVENTS, UnexpectedData()], ReaderState.UNEXPECTED_DATA),
        (SMALL + SMALL + SMALL, [*SMALL_EVENTS, UnexpectedData()], ReaderState.UNEXPECTED_DATA),
        (SMALL + INTERIM, [*SMALL_EVENTS, UnexpectedData()], ReaderState.UNEXPECTED_DATA),
        (SMALL + b"noise", [*SMALL_EVENTS, UnexpectedData()], ReaderState.UNEXPECTED_DATA),
        (
            OK + b"Connection: close\r\nContent-Length: 0\r\n\r\nnoise",
            [ResponseHead(200, 0), ResponseEnd(keep_alive=False), UnexpectedData()],
            ReaderState.UNEXPECTED_DATA,
        ),
    ],
)
def test_input_produces_the_expected_events_and_state(data, events, state):
    read_events, reader = read(data)
    assert read_events == events
    assert reader.state is state


@pytest.mark.parametrize(
    ("data", "events"),
    [
        (
            b"HTTP/1.1 103 Early Hints\r\nContent-Length: 4\r\n\r\nbody",
            [malformed(MalformedReason.INVALID_SYNTAX)],
        ),
        (b"what is this\r\n\r\n", [malformed(MalformedReason.INVALID_SYNTAX)]),
        (OK + b"no header\r\n\r\n", [malformed(MalformedReason.INVALID_SYNTAX)]),
        (
            OK + b"Content-Length: 4\r\nContent-Length: 4\r\n\r\nbody",
            [malformed(MalformedReason.INVALID_SYNTAX)],
        ),
        (
            OK + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
            [malformed(MalformedReason.INVALID_SYNTAX)],
        ),
        (
            b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
            [malformed(MalformedReason.INVALID_SYNTAX)],
        ),
        (
            OK + b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\nzz\r\n",
            [
                ResponseHead(200, None),
                BodyPart(b"body"),
                malformed(MalformedReason.INVALID_SYNTAX),
            ],
        ),
        (
            OK + b"Content-Length: %d\r\n\r\nhalf" % (MAX_BODY_BYTES + 1),
            [malformed(MalformedReason.INVALID_LENGTH)],
        ),
        (OK + b"Content-Length: 0000000004\r\n\r\nbody", [malformed(MalformedReason.INVALID_LENGTH)]),
        (OK + b"X: " + b"x" * MAX_HEAD_BYTES, [malformed(MalformedReason.HEAD_TOO_LARGE)]),
        (
            b"HTTP/1.1 100 Continue\r\n\r\n" * (MAX_HEAD_BYTES // 20),
            [malformed(MalformedReason.HEAD_TOO_LARGE)],
        ),
    ],
)
def test_malformed_response_is_reported_with_its_reason(data, events):
    read_events, reader = read(data)
    assert read_events == events
    assert reader.state is ReaderState.MALFORMED
    assert reader.feed(SMALL) == []


@pytest.mark.parametrize("value", [b"-1", b"x", b"4.0", b"0x4", b"99999999999999999999999"])
def test_content_length_that_is_not_a_decimal_number_is_malformed(value):
    events, _ = read(OK + b"Content-Length: %s\r\n\r\nbody" % value)
    assert len(events) == 1
    assert isinstance(events[0], MalformedResponse)


def test_largest_content_length_is_accepted():
    events, _ = read(OK + b"Content-Length: %d\r\n\r\n" % MAX_BODY_BYTES)
    assert events == [ResponseHead(200, MAX_BODY_BYTES)]


@pytest.mark.parametrize("head", [OK + b"\r\n", OK + b"Transfer-Encoding: gzip\r\n\r\n"])
def test_body_over_the_limit_is_malformed(head, monkeypatch):
    monkeypatch.setattr(response_reader, "MAX_BODY_BYTES", 8)
    events, reader = read(head, b"12345678")
    assert events == [ResponseHead(200, None), BodyPart(b"12345678")]
    assert reader.feed(b"9")[-1] == malformed(MalformedReason.BODY_TOO_LARGE)


def test_interim_body_over_the_limit_is_malformed(monkeypatch):
    monkeypatch.setattr(response_reader, "MAX_BODY_BYTES", 8)
    head = b"HTTP/1.1 199 X\r\nTransfer-Encoding: chunked\r\n\r\n"
    events, _ = read(head, b"8\r\n12345678\r\n", b"1\r\n9\r\n")
    assert events == [malformed(MalformedReason.BODY_TOO_LARGE)]


def test_heads_of_interim_responses_share_one_limit():
    reader = ResponseReader()
    events = list(
        itertools.chain.from_iterable(reader.feed(INTERIM) for _ in range(MAX_HEAD_BYTES // len(INTERIM)))
    )
    assert events == []
    assert reader.feed(INTERIM) == [malformed(MalformedReason.HEAD_TOO_LARGE)]


@pytest.mark.parametrize(
    ("fields", "head"),
    [
        (b"X-Load:  {} \t\r\n", ResponseHead(200, 0, load_report=b"{}")),
        (b"x-LOAD: {}\r\nX-Load: []\r\n", ResponseHead(200, 0, load_report=b"[]")),
        (b"X-Not-Run: 1 \r\n", ResponseHead(200, 0, is_not_executed=True)),
        (b"X-Not-Run: 0\r\n", ResponseHead(200, 0)),
        (b"X-Not-Run: true\r\n", ResponseHead(200, 0)),
        (b"Content-Type: text/plain; x=y \r\n", ResponseHead(200, 0, content_type=b"text/plain; x=y")),
        (b"X-Other: 1\r\n", ResponseHead(200, 0)),
    ],
)
def test_header_fields_are_reported_with_the_head(fields, head):
    events, _ = read(OK + fields + b"Content-Length: 0\r\n\r\n")
    assert events == [head, ResponseEnd(keep_alive=True)]


@pytest.mark.parametrize(
    ("data", "end"),
    [
        (b"", None),
        (OK, None),
        (INTERIM, None),
        (OK + b"Content-Length: 4\r\n\r\nbod", None),
        (OK + b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", None),
        (OK + b"Transfer-Encoding: gzip\r\n\r\nbody", None),
        (SMALL, None),
        (SMALL + SMALL, None),
        (b"noise\r\n", None),
        (OK + b"\r\n", ResponseEnd(keep_alive=False)),
        (OK + b"\r\nbody", ResponseEnd(keep_alive=False)),
        (OK + b"Connection: close\r\n\r\nbody", ResponseEnd(keep_alive=False)),
    ],
)
def test_close_of_the_connection_ends_only_a_close_delimited_response(data, end):
    _, reader = read(data)
    assert reader.feed_eof() == end
    assert reader.feed_eof() is None


def join_body_parts(events):
    """Return the events with adjacent body parts joined."""
    result = []
    for event in events:
        if isinstance(event, BodyPart) and result and isinstance(result[-1], BodyPart):
            result[-1] = BodyPart(result[-1].data + event.data)
        else:
            result.append(event)
    return result


def response(status, fields, body):
    return b"HTTP/1.1 %d X\r\n%s\r\n%s" % (status, b"".join(fields), body)


@st.composite
def framed_responses(draw):
    """A response with a random body and a random framing, which may be malformed."""
    body = draw(st.binary(max_size=60))
    status = draw(st.sampled_from([200, 200, 204, 304, 429, 500, 503]))
    fields = draw(
        st.lists(
            st.sampled_from(
                [
                    b"X-Load: {}\r\n",
                    b"X-Not-Run: 1\r\n",
                    b"Connection: close\r\n",
                    b"Content-Type: a/b\r\n",
                    b"?\r\n",
                ]
            ),
            max_size=3,
        )
    )
    framing = draw(st.sampled_from(["length", "length", "chunks", "none", "bad length", "bad chunk"]))
    if framing == "none":
        return response(status, fields, body)
    if framing == "length":
        return response(status, [*fields, b"Content-Length: %d\r\n" % len(body)], body)
    if framing == "bad length":
        return response(status, [*fields, b"Content-Length: 9999999999\r\n"], body)
    pieces = [body[start : start + 7] for start in range(0, len(body), 7)]
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces)
    last = b"0\r\nX-Trailer: t\r\n\r\n" if framing == "chunks" else b"?\r\n"
    return response(status, [*fields, b"Transfer-Encoding: chunked\r\n"], chunks + last)


@st.composite
def endpoint_streams(draw):
    """A byte stream from an endpoint: interim responses, a response, and possibly bytes after it."""
    interim = draw(
        st.lists(st.sampled_from([INTERIM, INTERIM_WITH_BODY, b"HTTP/1.1 100 Continue\r\n\r\n"]), max_size=2)
    )
    trailing = draw(st.one_of(st.just(b""), st.binary(max_size=10), framed_responses()))
    return b"".join(interim) + draw(framed_responses()) + trailing


@settings(max_examples=300, deadline=None)
@given(endpoint_streams(), st.data())
def test_any_split_of_the_same_bytes_produces_the_same_events(stream, data):
    cuts = data.draw(st.lists(st.integers(0, len(stream)), max_size=8).map(sorted))
    edges = [0, *cuts, len(stream)]
    parts = [stream[start:end] for start, end in itertools.pairwise(edges) if start < end]
    events, reader = read(stream)
    split_events, split_reader = read(*parts)
    assert join_body_parts(split_events) == join_body_parts(events)
    assert split_reader.state is reader.state
    assert split_reader.feed_eof() == reader.feed_eof()


@settings(max_examples=100, deadline=None)
@given(endpoint_streams())
def test_input_of_single_bytes_produces_the_same_events(stream):
    assert join_body_parts(read(*(bytes([byte]) for byte in stream))[0]) == join_body_parts(read(stream)[0])


@settings(max_examples=200, deadline=None)
@given(st.lists(st.binary(min_size=1, max_size=40), max_size=6))
def test_any_bytes_are_read_without_an_exception(inputs):
    events, _ = read(*inputs)
    assert sum(isinstance(event, MalformedResponse) for event in events) <= 1
