"""Tests that a request id is executed once over both processes of a hot restart."""

import asyncio

import pytest

from tools.fault_injection.client import RequestPlan, send_request
from tools.fault_injection.endpoint import EndpointBehavior
from tools.fault_injection.fleet import run_fleet
from tools.fault_injection.stream import Stream

REQUESTS = 12
UNSENT_BYTES = 20  # of each request that is begun before the successor starts
WORK_S = 0.2
# Work of the requests that are open during the handover. A process that has handed over opens no connections
# to endpoints any more, and uses theirs once they are answered.
OPEN_REQUEST_WORK_S = 1.4


class StartedStream:
    """A connection on which the first bytes of a request have been written already."""

    def __init__(self, stream):
        self._stream = stream
        self._skipped = False

    def __getattr__(self, name):
        return getattr(self._stream, name)

    async def write(self, data, rate=0.0):
        """Write the rest of the request."""
        await self._stream.write(data[-UNSENT_BYTES:], rate)


async def begin_request(port, plan):
    """Write all but the last bytes of a request, and return its connection."""
    stream = await Stream.connect(port)
    await stream.write(plan.encode()[:-UNSENT_BYTES])
    return StartedStream(stream)


def plans_with(**changes):
    """Return requests of a class that is not idempotent."""
    return [
        RequestPlan(
            f"id-{number}", "correction", 2.0, EndpointBehavior(work=WORK_S), body_bytes=64, **changes
        )
        for number in range(REQUESTS)
    ]


@pytest.mark.parametrize("leave_after_s", [None, 0.05], ids=["answered", "left"])
@pytest.mark.parametrize("begins_at_predecessor", [True, False])
async def test_request_id_is_executed_by_only_one_process(begins_at_predecessor, leave_after_s, tmp_path):
    """Guards against a second execution at the process that did not receive the id first."""
    first_plans = plans_with(leave_after_s=leave_after_s)
    second_plans = plans_with()
    async with run_fleet(tmp_path) as fleet:
        port = fleet.gateway.port
        streams = [await begin_request(port, plan) for plan in first_plans]
        open_plans = [
            RequestPlan(f"open-{number}", "reading", 2.0, EndpointBehavior(work=OPEN_REQUEST_WORK_S))
            for number in range(REQUESTS)
        ]
        open_requests = [asyncio.create_task(send_request(port, plan)) for plan in open_plans]
        async with fleet.successor():
            await asyncio.gather(*open_requests)
            on_predecessor = first_plans if begins_at_predecessor else second_plans
            old = [send_request(port, *pair) for pair in zip(on_predecessor, streams, strict=True)]
            new_plans = second_plans if begins_at_predecessor else first_plans
            new = [send_request(port, plan) for plan in new_plans]
            first, second = (old, new) if begins_at_predecessor else (new, old)
            first_outcomes = await asyncio.gather(*first)
            second_outcomes = await asyncio.gather(*second)
        counts = [fleet.execution_count(plan.request_id) for plan in first_plans]
    first = [outcome.status for outcome in first_outcomes]
    assert {outcome.status for outcome in second_outcomes} == {409}, first
    assert set(first) <= {200 if leave_after_s is None else None, 503}
    assert max(counts) == 1 and sum(counts) == REQUESTS - first.count(503) > 0, first
