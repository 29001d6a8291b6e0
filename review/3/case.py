"""Case 3: after a long body met a worker that stood still, its connection is never read again."""

from __future__ import annotations

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

import harness

WORKERS = 3  # of which one stands still at a time, 33%; the page: up to 49%
STANDSTILL_S = 0.35  # the page: 100 to 380 ms
PERIOD_S = 1.2  # from one standstill to the next; the bench's page: 3 to 0.8 s between them
PERIODS = 24  # about 29 s; the site file: 11 to 35 s
START_S = 0.03  # from the start of a period's uploads to the standstill
RECEIVE_BUFFER = 64 * 1024  # bytes that the system keeps for a connection while its worker stands still
UPLOADS_PER_PERIOD = 8
FIRST_SIZE = 4_100_000  # bytes of the shortest body; the page: bodies reach 32 MB
SIZE_STEP = 8_000
PIECE = 64 * 1024  # bytes of the body that the client writes at once
PIECE_PAUSE_S = 0.002  # between two pieces
REST_S = 0.5  # that a client rests between the answer to its upload and its next request
UPLOAD_DEADLINE_MS = 5000
NEXT_DEADLINE_MS = 2000
NEXT_WAIT_S = 12.0  # how long a client waits for its next answer: its time, 0.5 s, and 9.5 s more


class Worker(harness.Server):
    """A worker that reads nothing and answers nothing while it stands still."""

    def __init__(self, record: harness.Record) -> None:
        """Create a worker that does not stand still."""
        super().__init__(self._answer)
        self.receive_buffer = RECEIVE_BUFFER
        self.runs = asyncio.Event()  # cleared while the worker stands still
        self.runs.set()
        self.open_uploads = 0  # requests of which the head has come, but not the last byte
        self._record = record

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while head := await harness.read_head(reader):
                method, target, _ = head[0].split(" ", 2)
                self.open_uploads += 1
                try:
                    size = await harness.read_body(reader, head[1], self.runs)
                finally:
                    self.open_uploads -= 1
                await self._answer(harness.Request(method, target, head[1], size), writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the gateway has closed the connection, or the case ends
        finally:
            writer.close()

    async def _answer(self, request: harness.Request, writer: asyncio.StreamWriter) -> None:
        await self.runs.wait()
        self._record.write(f"worker: ran {request.id}, body of {request.body_size} bytes")
        writer.write(harness.response(b"served " + request.id.encode()))
        await writer.drain()


async def stand_still(workers: list[Worker], record: harness.Record) -> None:
    """Let the worker that is receiving the most bodies stand still for a while."""
    worker = max(workers, key=lambda candidate: candidate.open_uploads)
    record.write(f"a worker that is receiving {worker.open_uploads} bodies stands still for {STANDSTILL_S} s")
    worker.runs.clear()
    await asyncio.sleep(STANDSTILL_S)
    worker.runs.set()


async def run_client(gateway: harness.Gateway, record: harness.Record, number: int) -> bool | None:
    """Send an upload and then a short request on one connection.

    Returns whether the short request got a whole answer in time, or a close that lets the client send it
    again; None if the upload was not served, so that the case says nothing about this client.
    """
    size = FIRST_SIZE + number * SIZE_STEP
    reader, writer = await asyncio.open_connection(harness.HOST, gateway.port)
    try:
        writer.write(
            harness.request_head(
                "correction",
                f"upload-{number}",
                deadline_ms=UPLOAD_DEADLINE_MS,
                length=size,
                fields="Content-Type: application/octet-stream\r\n",
            )
        )
        for piece in (size % PIECE, *[PIECE] * (size // PIECE)):
            writer.write(bytes(piece))
            await writer.drain()
            await asyncio.sleep(PIECE_PAUSE_S)
        status = await asyncio.wait_for(harness.answer_status(reader), 10.0)
        record.write(f"client {number}: upload of {size} bytes answered {status}")
        if status != harness.SERVED:
            return None
        await asyncio.sleep(REST_S)
        writer.write(harness.request_head("reading/1", f"next-{number}", deadline_ms=NEXT_DEADLINE_MS))
        await writer.drain()
        record.write(f"client {number}: next-{number} written whole on the same connection")
        try:
            status = await asyncio.wait_for(harness.answer_status(reader), NEXT_WAIT_S)
        except TimeoutError:
            record.say(f"client {number}: next-{number} had neither answer nor close in {NEXT_WAIT_S:.0f} s")
            return False
        record.write(f"client {number}: next-{number} answered {status}")
        return True
    finally:
        writer.close()


async def case(record: harness.Record, folder: pathlib.Path, trouble: bool) -> bool:
    """Return whether each second request got its final answer."""
    workers = [Worker(record) for _ in range(WORKERS)]
    for worker in workers:
        await worker.start()
    entries = [harness.endpoint_entry(f"s{i}", worker.address) for i, worker in enumerate(workers)]
    discovery = harness.Discovery(entries)
    await discovery.start()
    gateway = harness.Gateway(folder, discovery=discovery.address)
    clients: list[asyncio.Task[bool | None]] = []
    try:
        await gateway.start()
        for _ in range(PERIODS):
            for _ in range(UPLOADS_PER_PERIOD):
                clients.append(asyncio.create_task(run_client(gateway, record, len(clients))))
            await asyncio.sleep(START_S)
            if trouble:
                await stand_still(workers, record)
            await asyncio.sleep(PERIOD_S - START_S - trouble * STANDSTILL_S)
        results = await asyncio.gather(*clients)
        if results.count(None) > len(clients) // 2:
            raise harness.CaseError("most uploads were not served")
        record.say(
            f"{results.count(True)} of {len(results) - results.count(None)} next requests were answered"
        )
        record.write(await gateway.metrics())
        return False not in results
    finally:
        if not await gateway.stop():
            record.say("the gateway did not end after SIGTERM although all clients had gone, and was killed")
        for server in (discovery, *workers):
            await server.stop()


harness.run_case(__file__, case)
