"""Tests of a gateway process whose standard error is not read."""

import asyncio
import contextlib
import os
import select
import signal

import pytest
from support.client import TestClient
from support.gateway_steps import complete_request

FILLER = bytes(64 * 1024)
READ_BYTES = 4096


def fill(descriptor):
    """Write to a pipe until it takes no more, and make it block again."""
    os.set_blocking(descriptor, False)
    with contextlib.suppress(BlockingIOError):
        while True:
            os.write(descriptor, FILLER)
    os.set_blocking(descriptor, True)


def drain_filler(descriptor):
    """Read what filled the pipe."""
    while os.read(descriptor, READ_BYTES) == bytes(READ_BYTES):
        if not select.select([descriptor], [], [], 0)[0]:
            return


@pytest.fixture
def full_log_pipe():
    """The two ends of a full pipe, for reading and writing."""
    reader, writer = os.pipe()
    fill(writer)
    yield reader, writer
    os.close(reader)
    os.close(writer)


@pytest.fixture
def process_options(full_log_pipe):
    """The process logs to the full pipe."""
    return {"stderr": full_log_pipe[1]}


async def test_stalled_log_reader_stops_neither_service_nor_shutdown(process, port, endpoint):
    for _ in range(2):
        process.send_signal(signal.SIGHUP)  # logs a line
        await complete_request(endpoint, await TestClient().connect(port))
    process.send_signal(signal.SIGTERM)
    assert await process.wait() == 0


async def test_records_dropped_for_a_stalled_reader_are_counted(process, full_log_pipe):
    reader, _ = full_log_pipe
    loop = asyncio.get_running_loop()
    output = b""
    drain_filler(reader)
    process.send_signal(signal.SIGHUP)
    while b"configuration reloaded" not in output:
        output += await loop.run_in_executor(None, os.read, reader, READ_BYTES)
    assert b" records dropped, the reader of standard error was stalled" in output
