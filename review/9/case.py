"""Clients read their answers over slow lines while a crowd connects that never finishes a request."""

from __future__ import annotations

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support_2"))

import harness  # noqa: E402
from slow_client import SlowClient, body_of  # noqa: E402

ENDPOINTS = 4
DESCRIPTORS = 256
CLIENTS = 12
ANSWER_BYTES = 40_000
WORK_S = 0.1
CROWD_AT_S = 0.2  # from the requests to the crowd
CROWD = 200
WAIT_MS = 2000


class Worker:
    """An endpoint that serves each request."""

    def __init__(self, record: harness.Record) -> None:
        """Listen nowhere yet."""
        self._record = record

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the requests on one connection."""
        while True:
            message = await harness.read_message(reader)
            request_id = message.fields["x-request-id"]
            self._record.write(f"an endpoint runs {request_id}")
            await asyncio.sleep(WORK_S)
            writer.write(harness.answer(body_of(request_id, ANSWER_BYTES)))
            await writer.drain()
            self._record.write(f"an endpoint has answered {request_id}")


async def ask(client: SlowClient, *, closes: bool) -> bool:
    """Send a request, and return whether its answer came whole."""
    request_id = f"r{client.number}"
    message = harness.request("reading", request_id, WAIT_MS, customer=client.number + 1)
    if closes:
        message = message.replace(b"\r\n", b"\r\nConnection: close\r\n", 1)
    return await client.ask(message, request_id, ANSWER_BYTES)


async def crowd(play: harness.Play, port: int) -> list[asyncio.StreamWriter]:
    """Connect peers that begin a request and never finish it."""
    writers = []
    for _ in range(CROWD):
        try:
            _, writer = await asyncio.open_connection(harness.HOST, port)
        except OSError:
            continue
        writer.write(b"GET /reading HTTP/1.1\r\nHost: api.internal\r\n")
        writers.append(writer)
    play.record.write(f"{len(writers)} peers have connected and begun a request")
    return writers


async def play_case(play: harness.Play) -> list[str]:
    """Return the breaks of the rule."""
    for number in range(ENDPOINTS):
        _, address = await harness.listen(Worker(play.record).serve)
        play.discovery.set_entry(f"s{number}", address)
    gateway = await play.start_gateway(harness.settings(harness.CLASSES), descriptors=DESCRIPTORS)
    clients = [await SlowClient.connect(play.record, number, gateway.port) for number in range(CLIENTS)]
    asked = [asyncio.create_task(ask(client, closes=client.number % 2 == 1)) for client in clients]
    await asyncio.sleep(CROWD_AT_S)
    peers = await crowd(play, gateway.port) if play.has_trouble else []
    whole = await asyncio.gather(*asked)
    for peer in peers:
        peer.close()
    return [
        f"the answer of client {number} was cut off by the gateway"
        for number in range(CLIENTS)
        if not whole[number]
    ]


if __name__ == "__main__":
    sys.exit(harness.run(play_case, FOLDER))
