"""Tests of process: logging."""

import asyncio
import contextlib
import os
import select
import signal

from support.fakes import (
    Client,
    answer,
    request,
)
from support.process_scenarios import (
    with_program,
)


def fill(descriptor):
    """Write to a pipe until it takes no more, and make it block again."""
    os.set_blocking(descriptor, False)
    with contextlib.suppress(BlockingIOError):
        while True:
            os.write(descriptor, bytes(64 * 1024))
    os.set_blocking(descriptor, True)


def test_stalled_log_reader_stops_neither_service_nor_shutdown(tmp_path):
    """The process stood still in write(2) to its standard error once the pipe was full."""
    has_unread_input, log = os.pipe()
    try:
        fill(log)

        async def scenario(process, port, worker, fake, _path):
            for _ in range(2):  # each logs a line
                process.send_signal(signal.SIGHUP)
                client = await Client().open(port)
                client.send(request())
                _, writer = await worker.asked()
                writer.write(answer())
                assert (await client.answer())[0] == 200
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0

        with_program(tmp_path, scenario, stderr=log)
    finally:
        os.close(has_unread_input)
        os.close(log)


def test_records_dropped_for_a_stalled_reader_are_counted(tmp_path):
    reader, log = os.pipe()
    try:
        fill(log)

        async def scenario(process, port, worker, _fake, _path):
            loop, said = asyncio.get_running_loop(), b""
            while os.read(reader, 4096) == bytes(4096):  # all that filled the pipe
                if not select.select([reader], [], [], 0)[0]:
                    break
            process.send_signal(signal.SIGHUP)
            while b"configuration reloaded" not in said:
                said += await loop.run_in_executor(None, os.read, reader, 4096)
            assert b" records dropped, the reader of standard error was stalled" in said

        with_program(tmp_path, scenario, stderr=log)
    finally:
        os.close(reader)
        os.close(log)
