"""Tests that no request begins for a client that has left, however much of its input is unread."""

import asyncio
import time

import pytest

from tools.fault_injection.client import RequestPlan
from tools.fault_injection.endpoint import EndpointBehavior
from tools.fault_injection.fleet import run_fleet
from tools.fault_injection.rules import MAX_RUN_AFTER_LEAVING_S
from tools.fault_injection.stream import Stream

CLIENTS = 12
PIPELINED = 40  # requests that a client writes at once
SETTLE_S = 1.5  # time for requests to be executed that must not be


def request(request_id, class_name="reading", body_bytes=None, work=0.0):
    """Return the bytes of a request."""
    return RequestPlan(request_id, class_name, 2.0, EndpointBehavior(work=work), body_bytes).encode()


def inputs(number):
    """Return what a client may have written before it leaves, by a name of the case."""
    pipelined = b"".join(request(f"pipelined-{number}-{index}") for index in range(PIPELINED))
    return {
        "rejected": b"GET /nothing HTTP/1.1\r\nHost: h\r\n\r\n" + pipelined,
        "open": request(f"open-{number}", work=0.5) + pipelined,
        "body": request(f"body-{number}", "correction", 250_000, work=0.5) + pipelined,
        "large body": request(f"large-{number}", "correction", 3_000_000, work=0.5) + pipelined,
        "many": pipelined,
    }


@pytest.mark.parametrize("is_reset", [False, True], ids=["close", "reset"])
@pytest.mark.parametrize("case", ["rejected", "open", "body", "large body", "many"])
async def test_no_request_begins_after_its_client_has_left(case, is_reset, tmp_path):
    async with run_fleet(tmp_path) as fleet:
        streams = [await Stream.connect(fleet.gateway.port) for _ in range(CLIENTS)]
        for number, stream in enumerate(streams):
            writing = asyncio.create_task(stream.write(inputs(number)[case]))
            await asyncio.wait([writing], timeout=0.05)
            writing.cancel()
        for stream in streams:
            if is_reset:
                stream.reset()
            else:
                stream.close()
        left_s = time.monotonic()
        await asyncio.sleep(SETTLE_S)
        late = [
            execution
            for execution in fleet.executions
            if execution.begun_s > left_s + MAX_RUN_AFTER_LEAVING_S
        ]
        ids = [execution.request_id for execution in fleet.executions]
        assert not late
        assert len(ids) == len(set(ids))
