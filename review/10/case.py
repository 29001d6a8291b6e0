"""The process is replaced beside slow readers; later a planned restart answers on the same connections."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support_2"))

import harness  # noqa: E402
from slow_client import SlowClient, body_of  # noqa: E402

ENDPOINTS = 4
CLIENTS = 14
FIRST_ANSWER_BYTES = 1500  # of client 0; the answer of each further client is longer by this
SECOND_ANSWER_BYTES = 40_000
FIRST_READ_AFTER_S = 1.0  # from the first request to its client's first read
SECOND_WORK_S = 2.6  # time that an endpoint works on the second request
GRACE_S = 3.7  # from SIGTERM to SIGKILL at the earliest


class Worker:
    """An endpoint whose answers have the size, and take the time, that the request's id implies."""

    def __init__(self, record: harness.Record) -> None:
        """Listen nowhere yet."""
        self._record = record

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the requests on one connection."""
        while True:
            message = await harness.read_message(reader)
            request_id = message.fields["x-request-id"]
            self._record.write(f"an endpoint runs {request_id}")
            is_second = request_id.startswith("second")
            await asyncio.sleep(SECOND_WORK_S if is_second else 0.05)
            size = SECOND_ANSWER_BYTES if is_second else first_size(int(request_id.split("-")[1]))
            writer.write(harness.answer(body_of(request_id, size)))
            await writer.drain()
            self._record.write(f"an endpoint has answered {request_id}")


def first_size(number: int) -> int:
    """Return the size of the answer to a client's first request."""
    return FIRST_ANSWER_BYTES * (number + 1)


async def ask(client: SlowClient, request_id: str, size: int, *, read_after_s: float = 0.0) -> bool:
    """Send a request, and return whether its answer came whole."""
    message = harness.request("correction", request_id, 5000, customer=client.number + 1)
    return await client.ask(message, request_id, size, read_after_s=read_after_s)


async def play_case(play: harness.Play) -> list[str]:
    """Return the breaks of the rule."""
    for number in range(ENDPOINTS):
        _, address = await harness.listen(Worker(play.record).serve)
        play.discovery.set_entry(f"s{number}", address)
    values = harness.settings(harness.CLASSES)
    gateway = await play.start_gateway(values)
    clients = [await SlowClient.connect(play.record, number, gateway.port) for number in range(CLIENTS)]
    first = [
        asyncio.create_task(
            ask(
                client,
                f"first-{client.number}",
                first_size(client.number),
                read_after_s=FIRST_READ_AFTER_S,
            )
        )
        for client in clients
    ]
    await asyncio.sleep(0.3)
    if play.has_trouble:
        old = gateway
        gateway = await play.start_gateway(values, port=old.port)
        old.signal(signal.SIGTERM)
        await old.end(GRACE_S)
    whole = await asyncio.gather(*first)
    breaks = [f"first answer of client {number} cut off" for number in range(CLIENTS) if not whole[number]]
    await asyncio.sleep(1)
    second = [
        asyncio.create_task(ask(client, f"second-{client.number}", SECOND_ANSWER_BYTES)) for client in clients
    ]
    await asyncio.sleep(0.2)
    gateway.signal(signal.SIGTERM)
    ending = asyncio.create_task(gateway.end(GRACE_S + 6))
    whole = await asyncio.gather(*second)
    await ending
    return breaks + [
        f"second answer of client {number} cut off by the gateway"
        for number in range(CLIENTS)
        if not whole[number]
    ]


if __name__ == "__main__":
    sys.exit(harness.run(play_case, FOLDER))
