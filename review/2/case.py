"""Case 2: many bodies of a quarter of a megabyte at once take the gateway over its memory limit."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

import harness

MEMORY_MB = 64  # of the operators' report on event9428, with the 256 descriptors
DESCRIPTORS = 256
CLIENTS = 84  # under a third of the descriptors
LONG_BODY = 250_000  # bytes; the page: bodies reach 32 MB, many at once
SHORT_BODY = 2_000
ROUNDS = 3  # requests of each client, one after another on its connection
WORKERS = 10
WORK_S = 0.25  # the mean work of a correction is 150 to 260 ms
DEADLINE_MS = 5000
SAMPLE_S = 0.01  # between two readings of the memory


class Platform:
    """The platform's memory limit: it kills the gateway once its anonymous memory exceeds the limit."""

    def __init__(self, gateway: harness.Gateway, record: harness.Record) -> None:
        """Watch nothing yet."""
        self._gateway = gateway
        self._record = record
        self.peak_mb = 0.0
        self.has_killed = False

    async def enforce_limit(self) -> None:
        """Read the memory until the limit is exceeded, and kill the gateway then."""
        while not self.has_killed:
            memory_mb = self._gateway.anonymous_memory_mb()
            self.peak_mb = max(self.peak_mb, memory_mb)
            if memory_mb > MEMORY_MB:
                self._record.say(f"platform: {memory_mb:.1f} MB used of {MEMORY_MB}, the gateway is killed")
                self.has_killed = True
                self._gateway.send_signal(signal.SIGKILL)
            await asyncio.sleep(SAMPLE_S)


async def run_client(
    gateway: harness.Gateway, record: harness.Record, number: int, size: int
) -> list[int | None]:
    """Send requests one after another on one connection, and return their statuses; None is no answer."""
    statuses: list[int | None] = []
    try:
        reader, writer = await asyncio.open_connection(harness.HOST, gateway.port)
    except ConnectionError:
        return [None]
    try:
        for turn in range(ROUNDS):
            request_id = f"correction-{number}-{turn}"
            head = harness.request_head("correction", request_id, deadline_ms=DEADLINE_MS, length=size)
            writer.write(head + bytes(size))
            await writer.drain()
            statuses.append(await harness.answer_status(reader))
            record.write(f"client {number}: {request_id} answered {statuses[-1]}")
            if statuses[-1] is None:
                break
    except ConnectionError:
        statuses.append(None)
    finally:
        writer.close()
    return statuses


async def case(record: harness.Record, folder: pathlib.Path, trouble: bool) -> bool:
    """Return whether the gateway stayed under its limit."""

    async def answer(request: harness.Request, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(WORK_S)
        record.write(f"worker: ran {request.id}, body of {request.body_size} bytes")
        writer.write(harness.response(b"corrected"))
        await writer.drain()

    workers = [harness.Server(answer) for _ in range(WORKERS)]
    for worker in workers:
        await worker.start()
    entries = [harness.endpoint_entry(f"s{i}", worker.address) for i, worker in enumerate(workers)]
    discovery = harness.Discovery(entries)
    await discovery.start()
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": DESCRIPTORS}
    gateway = harness.Gateway(folder, discovery=discovery.address, limits=limits)
    platform = Platform(gateway, record)
    enforcement = None
    try:
        await gateway.start()
        record.say(f"memory of the idle gateway: {gateway.anonymous_memory_mb():.1f} MB")
        enforcement = asyncio.create_task(platform.enforce_limit())
        size = LONG_BODY if trouble else SHORT_BODY
        clients = [run_client(gateway, record, number, size) for number in range(CLIENTS)]
        results = await asyncio.wait_for(asyncio.gather(*clients), 60.0)
        statuses = [status for result in results for status in result]
        counts = {str(status): statuses.count(status) for status in set(statuses)}
        record.say(f"bodies of {size} bytes, answers by status: {counts}")
        record.say(f"peak of the memory: {platform.peak_mb:.1f} MB of {MEMORY_MB}")
        return not platform.has_killed and gateway.exit_code is None
    finally:
        if enforcement is not None:
            enforcement.cancel()
        await gateway.stop()
        for server in (discovery, *workers):
            await server.stop()


harness.run_case(__file__, case)
