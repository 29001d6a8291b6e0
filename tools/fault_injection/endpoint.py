"""An endpoint that treats each request as its target says, and records what it received and answered.

A target has the form `/CLASS?work=0.05&size=100000`. The fields of `EndpointBehavior` name the parameters, so
a client decides how the endpoint treats its request, whichever endpoint the gateway selects.
"""

from __future__ import annotations

import asyncio
import dataclasses
import time
from dataclasses import dataclass
from urllib.parse import parse_qsl, urlencode, urlsplit

from tools.fault_injection.server import Server
from tools.fault_injection.stream import Stream, parse_head

LENGTH = "length"  # an answer with a Content-Length
CHUNKED = "chunked"  # an answer in chunks
CLOSE = "close"  # an answer that the end of the connection delimits

ANSWER_BLOCK_BYTES = 64_000  # of an answer that are written at a time


@dataclass(frozen=True)
class EndpointBehavior:
    """How an endpoint treats one request; sizes in bytes, rates in bytes a second, times in seconds."""

    read: float = 0.0  # rate at which the body is read; 0: as fast as it arrives
    stop: int = -1  # bytes of the body after which nothing more is read; -1: all of it is read
    work: float = 0.0  # time from the last byte of the request to the first byte of the answer
    size: int = 0  # least size of the answer's body
    rate: float = 0.0  # rate at which the answer is written; 0: as fast as it is taken
    framing: str = LENGTH
    pause: float = 0.0  # time for which nothing is written in the middle of the answer
    hang: int = -1  # bytes of the answer's body after which nothing more is written; -1: all of it is

    def target(self, class_name: str) -> str:
        """Return a request target with this behavior."""
        values = dataclasses.asdict(self)
        defaults = dataclasses.asdict(EndpointBehavior())
        changed = {name: value for name, value in values.items() if value != defaults[name]}
        return f"/{class_name}?{urlencode(changed)}" if changed else f"/{class_name}"

    @classmethod
    def from_target(cls, target: str) -> EndpointBehavior:
        """Return the behavior that a target names; raises ValueError for a malformed value."""
        types = {field.name: type(field.default) for field in dataclasses.fields(cls)}
        values = dict(parse_qsl(urlsplit(target).query))
        return cls(**{name: types[name](value) for name, value in values.items()})


DEFAULT_BEHAVIOR = EndpointBehavior()  # a short answer at once


@dataclass
class Execution:
    """One request that an endpoint received completely; times are those of the monotonic clock in seconds."""

    request_id: str
    begun_s: float  # when its head had arrived
    received_s: float  # when its last byte had arrived
    body_bytes: int
    answered_s: float | None = None  # None until the last byte of the answer has been written
    was_cut_off_s: float | None = None  # when the connection ended while the answer was being written


class Endpoint(Server):
    """An endpoint with a record of all requests that it received completely."""

    def __init__(self, *, send_buffer: int = 0, receive_buffer: int = 0) -> None:
        """Listen nowhere yet; see `Server` for the buffers."""
        super().__init__(send_buffer=send_buffer, receive_buffer=receive_buffer)
        self.executions: list[Execution] = []

    async def serve(self, stream: Stream) -> None:
        """Answer the requests on a connection one after another."""
        while True:
            first_line, fields = parse_head(await stream.read_until(b"\r\n\r\n"))
            begun_s = time.monotonic()
            behavior = EndpointBehavior.from_target(first_line.split(" ")[1])
            body_bytes = await self._read_body(stream, fields, behavior)
            execution = Execution(fields.get("x-request-id", ""), begun_s, time.monotonic(), body_bytes)
            self.executions.append(execution)
            await asyncio.sleep(behavior.work)
            try:
                await self._answer(stream, execution.request_id, behavior)
            except OSError:
                execution.was_cut_off_s = time.monotonic()
                raise
            execution.answered_s = time.monotonic()
            if behavior.framing == CLOSE:
                return

    async def _read_body(self, stream: Stream, fields: dict[str, str], behavior: EndpointBehavior) -> int:
        if behavior.stop >= 0:
            await stream.skip(behavior.stop, behavior.read)
            await asyncio.Event().wait()  # until the server stops
        if fields.get("transfer-encoding", "").lower() != CHUNKED:
            length = int(fields.get("content-length", "0"))
            await stream.skip(length, behavior.read)
            return length
        total = 0
        while size := int((await stream.read_until(b"\r\n")).split(b";")[0], 16):
            await stream.skip(size + 2, behavior.read)
            total += size
        await stream.read_until(b"\r\n")
        return total

    async def _answer(self, stream: Stream, request_id: str, behavior: EndpointBehavior) -> None:
        size = len(answer_text(request_id)) * answer_repetitions(request_id, behavior.size)
        framing = {
            LENGTH: f"Content-Length: {size}\r\n",
            CHUNKED: "Transfer-Encoding: chunked\r\n",
            CLOSE: "Connection: close\r\n",
        }[behavior.framing]
        await stream.write(f"HTTP/1.1 200 OK\r\n{framing}\r\n".encode())
        if behavior.hang >= 0:
            await _write_body(stream, request_id, behavior, 0, min(size, behavior.hang))
            await asyncio.Event().wait()
        middle = size // 2 if behavior.pause else size
        await _write_body(stream, request_id, behavior, 0, middle)
        if behavior.pause:
            await asyncio.sleep(behavior.pause)
            await _write_body(stream, request_id, behavior, middle, size)
        if behavior.framing == CHUNKED:
            await stream.write(b"0\r\n\r\n")


async def _write_body(
    stream: Stream, request_id: str, behavior: EndpointBehavior, begin: int, end: int
) -> None:
    """Write a part of the answer's body in blocks, so that a long answer occupies little memory."""
    text = answer_text(request_id)
    for start in range(begin, end, ANSWER_BLOCK_BYTES):
        size = min(ANSWER_BLOCK_BYTES, end - start)
        offset = start % len(text)
        block = (text * (size // len(text) + 2))[offset : offset + size]
        await stream.write(_framed(block, behavior.framing), behavior.rate)


def answer_text(request_id: str) -> bytes:
    """Return the text that the body of an answer repeats."""
    return f"answer to {request_id};".encode()


def answer_repetitions(request_id: str, size: int) -> int:
    """Return how often the body repeats the text to have at least this size."""
    return max(1, -(-size // len(answer_text(request_id))))


def answer_body(request_id: str, size: int) -> bytes:
    """Return the body of the answer to a request: its id, repeated up to at least this size."""
    return answer_text(request_id) * answer_repetitions(request_id, size)


def _framed(body: bytes, framing: str, chunk_bytes: int = 1000) -> bytes:
    """Return the body as it is written: in chunks if the framing asks for them."""
    if framing != CHUNKED:
        return body
    parts = [body[start : start + chunk_bytes] for start in range(0, len(body), chunk_bytes)]
    return b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)
