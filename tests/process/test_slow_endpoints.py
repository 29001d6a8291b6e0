"""Tests that requests at slow endpoints get their final answer in time, in a real gateway process."""

import pytest

from tools.fault_injection.client import RequestPlan
from tools.fault_injection.endpoint import CHUNKED, CLOSE, LENGTH, EndpointBehavior
from tools.fault_injection.fleet import run_fleet

SMALL_BUFFER = 4096  # receive buffer of the endpoints, which hides little of what they have not read
UPLOADS_PER_CASE = 4
RATE = 12_000  # bytes a second at which the endpoint writes a long answer


@pytest.mark.parametrize("is_chunked", [False, True], ids=["length", "chunked"])
@pytest.mark.parametrize(
    "behavior",
    [
        EndpointBehavior(read=400_000),
        EndpointBehavior(read=1_100_000),
        EndpointBehavior(stop=2_048),
        EndpointBehavior(stop=20_479),
        EndpointBehavior(stop=1_000_000),
    ],
    ids=lambda behavior: behavior.target("x").partition("?")[2],
)
async def test_large_body_that_its_endpoint_reads_slowly_is_answered_in_time(behavior, is_chunked, tmp_path):
    """Guards against answers seconds after the deadline, which ran only from the last byte that was read."""
    plans = [
        RequestPlan(
            f"upload-{number}",
            "correction",
            wait_s=0.55 + 0.2 * number,
            behavior=behavior,
            body_bytes=4_600_000 + number * 700_001,
            is_chunked=is_chunked,
        )
        for number in range(UPLOADS_PER_CASE)
    ]
    async with run_fleet(tmp_path, receive_buffer=SMALL_BUFFER) as fleet:
        outcomes = await fleet.send(plans, interval_s=0.05)
        assert not fleet.check(outcomes)
        assert {outcome.status for outcome in outcomes} <= {502, 503, 504}
        assert not fleet.executions


@pytest.mark.parametrize("framing", [CHUNKED, CLOSE, LENGTH])
@pytest.mark.parametrize("pause", [0.0, 0.4])
async def test_long_answer_that_is_being_written_at_the_deadline_is_forwarded(framing, pause, tmp_path):
    """Guards against long answers that are cut off at the deadline while their endpoint writes them."""
    behavior = EndpointBehavior(size=70_000, rate=RATE, framing=framing, pause=pause)
    plans = [RequestPlan(f"answer-{wait}", "reading", wait / 1000, behavior) for wait in (300, 800, 1300)]
    async with run_fleet(tmp_path) as fleet:
        outcomes = await fleet.send(plans)
        assert not fleet.check(outcomes)
        assert all(outcome.status == 200 and outcome.is_complete for outcome in outcomes)
