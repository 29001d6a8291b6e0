"""A short soak of seeded scenarios with gateway processes, and tests that it finds each kind of break."""

import asyncio

import pytest

from tools.fault_injection.client import Outcome, RequestPlan
from tools.fault_injection.endpoint import EndpointBehavior, Execution
from tools.fault_injection.rules import Rule, check, duplicates
from tools.fault_injection.soak import play

SEEDS = ((1, 2, 3), (4, 5, 6))  # seeds that are played at the same time
LARGE = 100_000


@pytest.mark.parametrize("seeds", SEEDS, ids=str)
async def test_no_rule_is_broken_under_seeded_faults(seeds):
    results = await asyncio.gather(*(play(seed) for seed in seeds))
    assert not [str(result) for result in results if result.breaks]
    assert all(result.served > result.requests / 2 for result in results)


def outcome_of(size=0, wait_s=1.0, **changes):
    """Return the outcome of a request sent at 0 s, by default answered in full after 0.1 s."""
    plan = RequestPlan("id", "correction", wait_s, EndpointBehavior(size=size))
    values = dict(
        started_s=0.0,
        sent_s=0.0,
        first_byte_s=0.1,
        ended_s=0.1,
        status=200,
        answer_bytes=size,
        is_complete=True,
    )
    return Outcome(plan, **{**values, **changes})


def execution_of(begun_s=0.0, **changes):
    """Return an execution of the same request."""
    return Execution("id", begun_s, begun_s, 0, **changes)


@pytest.mark.parametrize(
    ("outcome", "executions", "rules"),
    [
        (outcome_of(), [execution_of()], []),
        (outcome_of(first_byte_s=1.5, ended_s=1.5), [], []),
        (outcome_of(first_byte_s=1.6, ended_s=1.6, status=503), [], [Rule.LATE]),
        (outcome_of(LARGE, ended_s=9.0), [execution_of()], []),
        (outcome_of(LARGE, first_byte_s=1.7, ended_s=9.0), [], [Rule.LATE]),
        (outcome_of(first_byte_s=None, status=None, is_complete=False), [], [Rule.UNANSWERED]),
        (outcome_of(is_foreign=True), [], [Rule.FOREIGN]),
        (
            outcome_of(LARGE, status=503, answer_bytes=0),
            [execution_of(was_cut_off_s=0.5)],
            [Rule.CUT_OFF],
        ),
        (outcome_of(left_s=0.2, first_byte_s=None), [execution_of(0.25)], []),
        (outcome_of(left_s=0.2, first_byte_s=None), [execution_of(0.35)], [Rule.RAN_AFTER_LEAVING]),
    ],
)
def test_each_broken_rule_is_found(outcome, executions, rules):
    assert [broken.rule for broken in check([outcome], executions)] == rules


def test_second_execution_is_found():
    (broken,) = duplicates([outcome_of()], [execution_of(), execution_of()], {"correction"})
    assert broken.rule is Rule.DUPLICATE
    assert not duplicates([outcome_of()], [execution_of()], {"correction"})
