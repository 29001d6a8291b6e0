"""Tests of a gateway process while the reader of its standard error stalls."""

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


def fill_pipe(descriptor):
    """Write to a pipe until it is full, and leave it in blocking mode."""
    os.set_blocking(descriptor, False)
    with contextlib.suppress(BlockingIOError):
        while True:
            os.write(descriptor, FILLER)
    os.set_blocking(descriptor, True)


def read_filler(descriptor):
    """Read the filler from the pipe."""
    while os.read(descriptor, READ_BYTES) == bytes(READ_BYTES):
        if not select.select([descriptor], [], [], 0)[0]:
            return


@pytest.fixture
def full_log_pipe():
    """The read end and the write end of a full pipe."""
    reader, writer = os.pipe()
    fill_pipe(writer)
    yield reader, writer
    os.close(reader)
    os.close(writer)


@pytest.fixture
def process_options(full_log_pipe):
    """Connect the standard error of the process to the full pipe."""
    return {"stderr": full_log_pipe[1]}


async def test_stalled_log_reader_blocks_neither_requests_nor_shutdown(process, port, endpoint):
    for _ in range(2):
        process.send_signal(signal.SIGHUP)  # the reload logs a line
        await complete_request(endpoint, await TestClient().connect(port))
    process.send_signal(signal.SIGTERM)
    assert await process.wait() == 0


async def test_records_dropped_for_a_stalled_reader_are_counted(process, full_log_pipe):
    reader, _ = full_log_pipe
    loop = asyncio.get_running_loop()
    output = b""
    read_filler(reader)
    process.send_signal(signal.SIGHUP)
    while b"configuration reloaded" not in output:
        output += await loop.run_in_executor(None, os.read, reader, READ_BYTES)
    assert b" records dropped, the reader of standard error was stalled" in output
