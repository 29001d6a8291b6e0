"""A gateway is held up while endpoints turn requests away and clients leave; then patient clients ask."""

from __future__ import annotations

import asyncio
import pathlib
import random
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support_2"))

import harness  # noqa: E402

ENDPOINTS = 4
CUSTOMERS = 20
CALM_REQUESTS = 48  # in each round before the burst
CALM_CLIENTS = 16  # that send them at the same time
LEAVING_CLIENTS = 20
ROUNDS = 15
PAUSE_S = 2.5  # after each burst
FULL_S = 0.03  # from the requests: attempts that arrive until then are turned away, later ones are served
TURN_AWAY_S = 0.03  # time after which a full endpoint turns a request away
HOLD_AT_S = 0.015  # from the requests to the begin of the hold-up
HOLD_S = 0.14  # the pages allow 0.15 s
LEAVE_S = (0.09, 0.13)  # from the requests to the clients' leaving; without a hold-up all have been answered
CHECK_REQUESTS = 40
CHECK_INTERVAL_S = 0.125

TURNED_AWAY = b"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"


class Worker:
    """An endpoint that serves each request after a short time, or turns it away while it is full."""

    def __init__(self, record: harness.Record, name: str) -> None:
        """Listen nowhere yet."""
        self._record = record
        self._name = name
        self.full_until_s = 0.0
        self.attempts = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the requests on one connection."""
        while True:
            message = await harness.read_message(reader)
            request_id = message.fields["x-request-id"]
            self.attempts += 1
            if time.monotonic() < self.full_until_s:
                await asyncio.sleep(TURN_AWAY_S)
                self._record.write(f"{self._name} turns {request_id} away")
                writer.write(TURNED_AWAY)
            else:
                self._record.write(f"{self._name} runs {request_id}")
                await asyncio.sleep(0.02)
                writer.write(harness.answer(f"answer to {request_id}".encode()))
            await writer.drain()


async def ask(play: harness.Play, port: int, request_id: str, customer: int) -> int:
    """Send a request on a new connection, wait for its answer, and return its status."""
    reader, writer = await asyncio.open_connection(harness.HOST, port)
    writer.write(harness.request("reading", request_id, 2000, customer=customer))
    try:
        message = await harness.read_message(reader)
    finally:
        writer.close()
    play.record.write(f"client {request_id}: status {message.status}")
    return message.status


async def ask_and_leave(play: harness.Play, port: int, request_id: str, customer: int) -> None:
    """Send a request on a new connection, and leave soon, with or without an answer."""
    _, writer = await asyncio.open_connection(harness.HOST, port)
    writer.write(harness.request("reading", request_id, 2000, customer=customer))
    await asyncio.sleep(random.uniform(*LEAVE_S))
    writer.close()
    play.record.write(f"client {request_id} leaves")


async def ask_calmly(play: harness.Play, port: int, number: int) -> int:
    """Send the requests of a calm time, and return how many were served."""
    served = 0
    for first in range(0, CALM_REQUESTS, CALM_CLIENTS):
        indexes = range(first, first + CALM_CLIENTS)
        asked = [ask(play, port, f"calm-{number}-{index}", index % CUSTOMERS + 1) for index in indexes]
        served += (await asyncio.gather(*asked)).count(200)
    return served


async def burst(play: harness.Play, gateway: harness.Gateway, workers: list[Worker], number: int) -> None:
    """Let clients ask and leave while the endpoints are full; the disruption holds the gateway up."""
    for worker in workers:
        worker.full_until_s = time.monotonic() + FULL_S
    leaving = [
        asyncio.create_task(
            ask_and_leave(play, gateway.port, f"leaves-{number}-{index}", index % CUSTOMERS + 1)
        )
        for index in range(LEAVING_CLIENTS)
    ]
    await asyncio.sleep(HOLD_AT_S)
    if play.has_trouble:
        gateway.signal(signal.SIGSTOP)
        await asyncio.sleep(HOLD_S)
        gateway.signal(signal.SIGCONT)
    await asyncio.gather(*leaving)
    await asyncio.sleep(PAUSE_S)


async def play_case(play: harness.Play) -> list[str]:
    """Return the breaks of the rule."""
    workers = []
    for number in range(ENDPOINTS):
        worker = Worker(play.record, f"s{number}")
        _, address = await harness.listen(worker.serve)
        play.discovery.set_entry(f"s{number}", address)
        workers.append(worker)
    gateway = await play.start_gateway(harness.settings(harness.CLASSES))
    for number in range(ROUNDS):
        if not await ask_calmly(play, gateway.port, number):
            play.record.write(f"no request was served after {number} bursts")
            break
        await burst(play, gateway, workers, number)
    await asyncio.sleep(2)
    return await check(play, gateway.port, workers)


async def check(play: harness.Play, port: int, workers: list[Worker]) -> list[str]:
    """Send requests of patient clients for some seconds, and return the breaks of the rule."""
    attempts_before = sum(worker.attempts for worker in workers)
    tasks = []
    for index in range(CHECK_REQUESTS):
        tasks.append(asyncio.create_task(ask(play, port, f"check-{index}", index % CUSTOMERS + 1)))
        await asyncio.sleep(CHECK_INTERVAL_S)
    statuses = await asyncio.gather(*tasks)
    attempts = sum(worker.attempts for worker in workers) - attempts_before
    served = statuses.count(200)
    play.record.write(f"check: {served} of {CHECK_REQUESTS} requests served, {attempts} attempts")
    if served or attempts:
        return []
    seconds = CHECK_REQUESTS * CHECK_INTERVAL_S
    return [f"the gateway rejected all of {CHECK_REQUESTS} requests in {seconds:.0f} s, with no attempt"]


if __name__ == "__main__":
    sys.exit(harness.run(play_case, FOLDER))
