"""A TCP proxy between a gateway and an endpoint that delays, limits, holds or resets connections."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from tools.fault_injection.server import Server
from tools.fault_injection.stream import Stream


@dataclass(frozen=True)
class ProxyFaults:
    """What the proxy does to each connection; rates in bytes a second, times in seconds."""

    delay_s: float = 0.0  # before a new connection is passed on
    request_rate: float = 0.0  # toward the endpoint; 0: no limit
    answer_rate: float = 0.0  # toward the gateway; 0: no limit
    reset_after_s: float | None = None  # time after which both connections are reset; None: never


class Proxy(Server):
    """Listens in place of an endpoint; `faults` may change while it runs, for new connections."""

    def __init__(self, target_port: int, faults: ProxyFaults, *, receive_buffer: int = 0) -> None:
        """Pass connections on to a port of the loopback address."""
        super().__init__(receive_buffer=receive_buffer)
        self.faults = faults
        self._target_port = target_port

    async def serve(self, stream: Stream) -> None:
        """Pass the bytes of one connection on in both directions, until either side ends."""
        faults = self.faults
        await asyncio.sleep(faults.delay_s)
        target = await Stream.connect(self._target_port)
        directions = [
            asyncio.create_task(_copy(stream, target, faults.request_rate)),
            asyncio.create_task(_copy(target, stream, faults.answer_rate)),
        ]
        try:
            done, _ = await asyncio.wait(
                directions, timeout=faults.reset_after_s, return_when=asyncio.FIRST_COMPLETED
            )
            if not done:
                stream.reset()
        finally:
            for direction in directions:
                direction.cancel()
            await asyncio.gather(*directions, return_exceptions=True)
            target.close()


async def _copy(source: Stream, target: Stream, rate: float) -> None:
    while data := await source.read():
        await target.write(data, rate)
