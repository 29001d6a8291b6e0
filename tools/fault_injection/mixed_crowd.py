"""A seeded crowd of clients that hold memory in a gateway, and connect again after each end.

    python -m tools.fault_injection.mixed_crowd --port 5000 --clients 400 --duration 60 --seed 1

Each client draws what it does from all kinds or from those that are named. A crowd is best played by
processes of its own, so that it does not delay the clients whose answers are timed.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import random
import time
from collections.abc import Sequence
from enum import Enum

from tools.fault_injection.client import RequestPlan
from tools.fault_injection.endpoint import CHUNKED, LENGTH, EndpointBehavior
from tools.fault_injection.stream import PACE_INTERVAL_S, Stream

MIN_PAUSE_S = 0.02  # before a client connects again
MAX_PAUSE_S = 0.3
MAX_STAY_S = 12.0  # for which a client stays that the gateway does not end
HEAD_RATE = 8000.0  # bytes a second of a head that is written slowly
READ_RATE = 7000.0  # bytes a second of an answer that is read slowly
READ_BUFFER_BYTES = 4096  # receive buffer of a client that reads slowly
PIPELINED_REQUESTS = 20
WAIT_S = 2.0  # of the requests of a crowd


class Kind(Enum):
    """What a client of the crowd does on one connection."""

    SLOW_BODY = "slow-body"
    STOPPED_BODY = "stopped-body"
    STOPPED_CHUNKS = "stopped-chunks"
    STOPPED_SMALL_BODY = "stopped-small-body"
    SHORT_FIELDS = "short-fields"
    LONG_FIELD = "long-field"
    SLOW_READER = "slow-reader"
    UPLOAD_AND_SLOW_READER = "upload-and-slow-reader"
    PIPELINED = "pipelined"


class CrowdClient:
    """One client, whose requests are determined by its random numbers."""

    def __init__(self, port: int, name: str, kinds: Sequence[Kind], *, new_customers: bool = False) -> None:
        """Use a generator with the client's name as its seed."""
        self._port = port
        self._name = name
        self._kinds = list(kinds)
        self._rng = random.Random(name)
        self._new_customers = new_customers
        self._serial = 0

    async def run(self, until_s: float) -> None:
        """Occupy one connection after another up to the time of the monotonic clock."""
        await asyncio.sleep(self._rng.uniform(0, MAX_PAUSE_S))
        while (left_s := until_s - time.monotonic()) > 0:
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(min(left_s, MAX_STAY_S)):
                    await self._occupy(self._rng.choice(self._kinds))
            await asyncio.sleep(self._rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S))

    async def _occupy(self, kind: Kind) -> None:
        is_slow_reader = kind in (Kind.SLOW_READER, Kind.UPLOAD_AND_SLOW_READER, Kind.PIPELINED)
        stream = await Stream.connect(self._port, receive_buffer=READ_BUFFER_BYTES if is_slow_reader else 0)
        with contextlib.closing(stream):
            reading = asyncio.create_task(self._read(stream, READ_RATE if is_slow_reader else 0.0))
            writing = asyncio.create_task(self._write(stream, kind))
            try:
                await reading  # ends when the gateway closes the connection
            finally:
                for task in (reading, writing):
                    task.cancel()
                await asyncio.gather(reading, writing, return_exceptions=True)

    async def _read(self, stream: Stream, rate: float) -> None:
        size = int(rate * PACE_INTERVAL_S)
        while await stream.read(size or 65536):
            if size:
                await asyncio.sleep(PACE_INTERVAL_S)

    async def _write(self, stream: Stream, kind: Kind) -> None:
        rng = self._rng
        match kind:
            case Kind.SLOW_BODY:
                plan = self._plan(EndpointBehavior(), rng.randint(20_000, 400_000), rng.random() < 0.5)
                await stream.write(plan.encode(), rng.uniform(33_000, 120_000))
            case Kind.STOPPED_BODY:
                data = self._plan(EndpointBehavior(), rng.randint(20_000, 3_000_000)).encode()
                await stream.write(data[: rng.choice((len(data) // 2, len(data) - 1))])
            case Kind.STOPPED_CHUNKS:
                await self._write_chunks(stream)
            case Kind.STOPPED_SMALL_BODY:
                data = self._plan(EndpointBehavior(), rng.randint(4000, 8100)).encode()
                await stream.write(data[:-1])
            case Kind.LONG_FIELD:
                await self._write_long_field(stream)
            case Kind.SHORT_FIELDS:
                await self._write_fields(stream)
            case Kind.SLOW_READER:
                await stream.write(self._plan(self._long_answer()).encode())
            case Kind.UPLOAD_AND_SLOW_READER:
                await stream.write(self._plan(self._long_answer(), rng.randint(20_000, 400_000)).encode())
            case Kind.PIPELINED:
                plans = [self._plan(self._long_answer()) for _ in range(PIPELINED_REQUESTS)]
                await stream.write(b"".join(plan.encode() for plan in plans))

    def _long_answer(self) -> EndpointBehavior:
        size = int(self._rng.choice((self._rng.uniform(15e3, 80e3), self._rng.uniform(1e5, 8e6))))
        return EndpointBehavior(size=size, framing=self._rng.choice((LENGTH, CHUNKED)))

    def _plan(
        self, behavior: EndpointBehavior, body_bytes: int | None = None, is_chunked: bool = False
    ) -> RequestPlan:
        self._serial += 1
        return RequestPlan(
            f"{self._name}-{self._serial}",
            "reading" if body_bytes is None else "correction",
            WAIT_S,
            behavior,
            body_bytes,
            is_chunked,
            customer=self._rng.randint(1000, 1 << 32) if self._new_customers else 2,
        )

    async def _write_chunks(self, stream: Stream) -> None:
        head = self._plan(EndpointBehavior(), 0, is_chunked=True).encode().removesuffix(b"0\r\n\r\n")
        size = self._rng.randint(1, 16_000)
        chunk = b"%x\r\n%s\r\n" % (size, bytes(size))
        count = min(self._rng.randint(1, 400), 2_000_000 // size)
        await stream.write(head + chunk * count + b"%x\r\n" % size + bytes(size // 2))

    async def _write_long_field(self, stream: Stream) -> None:
        """Write a head whose target, or whose last field, is long and has no end."""
        if self._rng.random() < 0.5:
            await stream.write(b"GET /reading?" + b"x" * 15_000)
        else:
            name = self._rng.choice((b"Content-Type", b"X-Other"))
            plan = self._plan(EndpointBehavior()).encode().removesuffix(b"\r\n")
            await stream.write(plan + name + b": " + b"x" * 15_000)

    async def _write_fields(self, stream: Stream) -> None:
        count = self._rng.randint(1500, 3800)
        plan = self._plan(EndpointBehavior()).encode().removesuffix(b"\r\n")
        data = plan + b"".join(b"a%x:b\r\n" % number for number in range(count))
        match self._rng.choice(("unfinished", "whole", "slow")):
            case "unfinished":
                await stream.write(data[:16_000])
            case "whole":
                await stream.write(data + b"\r\n")
            case _:
                await stream.write(data[:16_000], HEAD_RATE)


async def run_mixed_crowd(
    port: int,
    clients: int,
    duration_s: float,
    seed: str,
    kinds: Sequence[Kind] = tuple(Kind),
    *,
    new_customers: bool = False,
) -> None:
    """Let clients connect at once and occupy connections for a time; of customers of their own if so told."""
    until_s = time.monotonic() + duration_s
    crowd = [
        CrowdClient(port, f"crowd-{seed}-{number}", kinds, new_customers=new_customers)
        for number in range(clients)
    ]
    await asyncio.gather(*(client.run(until_s) for client in crowd))


def main() -> None:
    """Play a crowd as the arguments say."""
    parser = argparse.ArgumentParser(prog="python -m tools.fault_injection.mixed_crowd", description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--clients", type=int, default=400)
    parser.add_argument("--duration", type=float, default=30.0, help="in seconds")
    parser.add_argument("--seed", default="1")
    parser.add_argument("--kinds", type=Kind, nargs="+", default=list(Kind), metavar="KIND")
    parser.add_argument("--new-customers", action="store_true", help="each request of a customer of its own")
    arguments = parser.parse_args()
    asyncio.run(
        run_mixed_crowd(
            arguments.port,
            arguments.clients,
            arguments.duration,
            arguments.seed,
            arguments.kinds,
            new_customers=arguments.new_customers,
        )
    )


if __name__ == "__main__":
    main()
