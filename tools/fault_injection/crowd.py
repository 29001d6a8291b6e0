"""Clients that occupy a gateway: they write slowly, stop within a request, or read slowly."""

from __future__ import annotations

import asyncio
import contextlib
from enum import Enum

from tools.fault_injection.client import RequestPlan, send_request
from tools.fault_injection.endpoint import EndpointBehavior
from tools.fault_injection.stream import Stream

SLOW_WRITE_RATE = 1500.0  # bytes a second
SLOW_READ_RATE = 20_000.0  # bytes a second
LARGE_BODY_BYTES = 1_000_000
SMALL_BODY_BYTES = 8_000
LONG_ANSWER_BYTES = 2_000_000
SHORT_FIELDS = 1_600  # number of header fields of a head that has only short ones
SMALL_BUFFER = 4096  # receive buffer of a client that reads slowly


class Occupation(Enum):
    """How a client of a crowd occupies its connection."""

    SILENT = "silent"
    SLOW_WRITER = "slow writer"
    HALF_LARGE_BODY = "half of a large body"
    HALF_SMALL_BODY = "half of a small body"
    MANY_FIELDS = "head of many short fields"
    SLOW_READER = "slow reader"


async def occupy(port: int, occupation: Occupation, number: int, duration_s: float) -> None:
    """Occupy one connection for a time; a gateway that closes it earlier ends this as well."""
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(duration_s):
            if occupation is Occupation.SLOW_READER:
                await send_request(port, _long_answer_plan(number))
                return
            stream = await Stream.connect(port)
            with contextlib.closing(stream):
                await _occupy_by_writing(stream, occupation, number)
                await asyncio.sleep(duration_s)


async def run_crowd(port: int, size: int, duration_s: float) -> None:
    """Let clients of all kinds, in turn, connect at once and occupy their connections for a time."""
    kinds = list(Occupation)
    await asyncio.gather(
        *(occupy(port, kinds[number % len(kinds)], number, duration_s) for number in range(size))
    )


async def _occupy_by_writing(stream: Stream, occupation: Occupation, number: int) -> None:
    large = _upload_plan(number, LARGE_BODY_BYTES)
    small = _upload_plan(number, SMALL_BODY_BYTES)
    if occupation is Occupation.SLOW_WRITER:
        await stream.write(small, SLOW_WRITE_RATE)
    elif occupation is Occupation.HALF_LARGE_BODY:
        await stream.write(large[: LARGE_BODY_BYTES // 2])
    elif occupation is Occupation.HALF_SMALL_BODY:
        await stream.write(small[: SMALL_BODY_BYTES // 2])
    elif occupation is Occupation.MANY_FIELDS:
        fields = b"".join(b"a%d: b\r\n" % field for field in range(SHORT_FIELDS))
        await stream.write(b"GET /reading HTTP/1.1\r\nHost: h\r\n" + fields)


def _upload_plan(number: int, body_bytes: int) -> bytes:
    plan = RequestPlan(f"crowd-{number}", "correction", 5.0, EndpointBehavior(), body_bytes)
    return plan.encode()


def _long_answer_plan(number: int) -> RequestPlan:
    return RequestPlan(
        f"crowd-{number}",
        "reading",
        5.0,
        EndpointBehavior(size=LONG_ANSWER_BYTES),
        read_rate=SLOW_READ_RATE,
        receive_buffer=SMALL_BUFFER,
    )
