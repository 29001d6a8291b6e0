"""Clients that send a request as its plan says, and record when each part was written and received."""

from __future__ import annotations

import asyncio
import contextlib
import time
from dataclasses import dataclass, field

from tools.fault_injection.endpoint import CHUNKED, DEFAULT_BEHAVIOR, EndpointBehavior, answer_body
from tools.fault_injection.stream import READ_BYTES, PeerClosedError, Stream, parse_head

PATIENCE_S = 15.0  # time after the request's own for which a client waits for the end of an answer
CHUNK_BYTES = 8 * 1024  # size of the chunks of a chunked body
LARGE_ANSWER_BYTES = 64 * 1024  # the time of a larger answer is that of its first byte


@dataclass(frozen=True)
class RequestPlan:
    """One request and how its client behaves; times in seconds, rates in bytes a second."""

    request_id: str
    class_name: str
    wait_s: float
    behavior: EndpointBehavior = DEFAULT_BEHAVIOR
    body_bytes: int | None = None  # None: a request without a body
    is_chunked: bool = False
    write_rate: float = 0.0  # 0: as fast as the gateway takes the bytes
    read_rate: float = 0.0  # 0: as fast as the answer arrives
    leave_after_s: float | None = None  # time after the start at which the client closes its connection
    leaves_by_reset: bool = False
    customer: int = 1
    send_buffer: int = 0
    receive_buffer: int = 0
    extra_fields: str = ""  # further header lines, each with its line ending

    def encode(self) -> bytes:
        """Return the bytes of the request."""
        body = b"" if self.body_bytes is None else bytes(self.body_bytes)
        framing = ""
        if self.is_chunked:
            framing = "Transfer-Encoding: chunked\r\n"
            parts = [body[start : start + CHUNK_BYTES] for start in range(0, len(body), CHUNK_BYTES)]
            body = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts) + b"0\r\n\r\n"
        elif self.body_bytes is not None:
            framing = f"Content-Length: {len(body)}\r\n"
        method = "GET" if self.body_bytes is None else "POST"
        return (
            f"{method} {self.behavior.target(self.class_name)} HTTP/1.1\r\nHost: api.internal\r\n"
            f"X-Request-Id: {self.request_id}\r\nX-Tier: basic\r\nX-Api-Key: {self.customer:016x}\r\n"
            f"X-Deadline-Ms: {round(self.wait_s * 1000)}\r\nX-Call-Terms: units=1,spread=1,first=0\r\n"
            f"{framing}{self.extra_fields}\r\n"
        ).encode() + body


@dataclass
class Outcome:
    """What a client saw of its request; times are those of the monotonic clock in seconds."""

    plan: RequestPlan
    started_s: float = field(default_factory=time.monotonic)
    sent_s: float | None = None  # when the operating system had taken the last byte
    left_s: float | None = None  # when the client closed its connection early
    first_byte_s: float | None = None  # when the first byte of the final answer arrived
    ended_s: float | None = None  # when the answer was complete, or the connection ended
    status: int | None = None
    answer_bytes: int = 0  # size of the part of the answer's body that was received
    is_complete: bool = False  # whether the answer was received completely
    is_foreign: bool = False  # whether a successful answer has another body than its endpoint sent

    @property
    def due_s(self) -> float | None:
        """When the client's time is over; None if the request was never written completely."""
        return None if self.sent_s is None else self.sent_s + self.plan.wait_s

    def describe(self) -> str:
        """Return the story of the request in one line, with the times since its start."""
        plan = self.plan
        body = "no body" if plan.body_bytes is None else f"body {plan.body_bytes}"
        framing = "chunked" if plan.is_chunked else "length"
        times = {
            name: "-" if value is None else f"{value - self.started_s:.3f}"
            for name, value in (
                ("sent", self.sent_s),
                ("left", self.left_s),
                ("first byte", self.first_byte_s),
                ("ended", self.ended_s),
            )
        }
        story = ", ".join(f"{name} {value}" for name, value in times.items())
        return (
            f"{plan.request_id} {plan.class_name} wait {plan.wait_s:.3f} {body} {framing}"
            f" {plan.behavior.target(plan.class_name)}: {story}, status {self.status},"
            f" {self.answer_bytes} bytes, {'complete' if self.is_complete else 'incomplete'}"
        )


async def send_request(port: int, plan: RequestPlan, stream: Stream | None = None) -> Outcome:
    """Send a request, by default on a new connection, and return what became of it.

    The answer is read while the request is still being written. The connection is closed at the end, unless
    the caller passed it and the answer is complete.
    """
    outcome = Outcome(plan)
    is_own_stream = stream is None
    try:
        stream = stream or await Stream.connect(
            port, send_buffer=plan.send_buffer, receive_buffer=plan.receive_buffer
        )
    except OSError:
        outcome.ended_s = time.monotonic()
        return outcome
    writing = asyncio.create_task(_write(stream, outcome))
    reading = asyncio.create_task(_read_answer(stream, outcome))
    await _wait_for_end(writing, reading, outcome)
    if outcome.ended_s is None:
        outcome.ended_s = time.monotonic()
    if outcome.left_s is not None and plan.leaves_by_reset:
        stream.reset()
    elif is_own_stream or not outcome.is_complete:
        stream.close()
    return outcome


async def _wait_for_end(writing: asyncio.Task[None], reading: asyncio.Task[None], outcome: Outcome) -> None:
    """Wait for the answer, the end of the client's patience, or the time at which it leaves."""
    plan = outcome.plan
    timeout_s = PATIENCE_S + plan.wait_s
    if plan.body_bytes and plan.write_rate:
        timeout_s += plan.body_bytes / plan.write_rate
    if plan.leave_after_s is not None:
        timeout_s = plan.leave_after_s
    await asyncio.wait([reading], timeout=timeout_s)
    if not reading.done() and plan.leave_after_s is not None:
        outcome.left_s = time.monotonic()
    for task in (writing, reading):
        task.cancel()
    await asyncio.gather(writing, reading, return_exceptions=True)


async def _write(stream: Stream, outcome: Outcome) -> None:
    with contextlib.suppress(OSError):
        await stream.write(outcome.plan.encode(), outcome.plan.write_rate)
        outcome.sent_s = time.monotonic()


async def _read_answer(stream: Stream, outcome: Outcome) -> None:
    with contextlib.suppress(OSError, ValueError):
        status = 100
        while status < 200:
            first_line, fields = parse_head(await stream.read_until(b"\r\n\r\n"))
            status = int(first_line.split(" ")[1])
        outcome.first_byte_s = time.monotonic()
        outcome.status = status
        body = await _read_body(stream, fields, outcome)
        outcome.is_complete = True
        outcome.is_foreign = status == 200 and not _is_own_answer(outcome.plan, body)
    outcome.ended_s = time.monotonic()


def _is_own_answer(plan: RequestPlan, body: bytes) -> bool:
    """Return whether the body is that of the endpoint's answer to this request."""
    if plan.behavior.framing == "close":  # without chunks, its end can't be told from a cut
        return answer_body(plan.request_id, plan.behavior.size).startswith(body)
    return body == answer_body(plan.request_id, plan.behavior.size)


async def _read_body(stream: Stream, fields: dict[str, str], outcome: Outcome) -> bytes:
    """Read the body of the answer at the plan's rate, and count its bytes as they arrive."""
    if fields.get("transfer-encoding", "").lower() == CHUNKED:
        body = b""
        while size := int((await stream.read_until(b"\r\n")).split(b";")[0], 16):
            body += await _read_exactly(stream, size, outcome)
            await stream.read_until(b"\r\n")
        await stream.read_until(b"\r\n")
        return body
    if "content-length" in fields:
        return await _read_exactly(stream, int(fields["content-length"]), outcome)
    parts = []
    while part := await stream.read():
        outcome.answer_bytes += len(part)
        parts.append(part)
    return b"".join(parts)


async def _read_exactly(stream: Stream, size: int, outcome: Outcome) -> bytes:
    rate = outcome.plan.read_rate
    parts = []
    while size:
        part = await stream.read(min(size, int(rate * 0.05) or 1 if rate else READ_BYTES))
        if not part:
            raise PeerClosedError("the answer is not complete")
        parts.append(part)
        size -= len(part)
        outcome.answer_bytes += len(part)
        if rate:
            await asyncio.sleep(len(part) / rate)
    return b"".join(parts)
