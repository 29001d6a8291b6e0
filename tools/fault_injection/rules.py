"""Checks the rules on requests from the records of clients and endpoints.

The rules are those of the protocol page: each request gets one final answer in its time, no request without
an idempotency key is executed twice, no attempt begins for a client that has left, and no client receives the
answer to another request.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus

from tools.fault_injection.client import LARGE_ANSWER_BYTES, Outcome
from tools.fault_injection.endpoint import Execution

MAX_DELAY_S = 0.5  # time after the request's own up to which its answer only earns nothing
CLOCK_SLACK_S = 0.05  # by which time limits on sockets are longer
MAX_RUN_AFTER_LEAVING_S = 0.1  # time after a client's close up to which an attempt for it may begin
STANDSTILL_S = 2.0  # time for which an answer may stand still before it counts as hanging


class Rule(Enum):
    """The rule that a request broke."""

    UNANSWERED = "unanswered"  # its connection ended without a byte of an answer
    LATE = "late"  # its answer came too late
    CUT_OFF = "cut off"  # its answer was cut off while the endpoint was writing it
    FOREIGN = "foreign"  # it received the answer to another request
    DUPLICATE = "duplicate"  # it was executed more than once
    CRASH = "crash"  # a process ended other than by its shutdown
    MEMORY = "memory"  # a process exceeded its limit on resident memory
    RAN_AFTER_LEAVING = "ran after leaving"  # an attempt for it began after its client had left


@dataclass(frozen=True)
class Break:
    """A rule that one request broke, and what its client saw."""

    rule: Rule
    story: str

    def __str__(self) -> str:
        """Return the rule and the story in one line."""
        return f"{self.rule.value}: {self.story}"


def check(outcomes: Iterable[Outcome], executions: Iterable[Execution]) -> list[Break]:
    """Return the broken rules of these requests."""
    by_id: dict[str, list[Execution]] = {}
    for execution in executions:
        by_id.setdefault(execution.request_id, []).append(execution)
    return [
        Break(rule, outcome.describe())
        for outcome in outcomes
        for rule in _broken_rules(outcome, by_id.get(outcome.plan.request_id, []))
    ]


def duplicates(
    outcomes: Iterable[Outcome], executions: Iterable[Execution], classes: set[str]
) -> list[Break]:
    """Return the requests of these classes whose id was executed more than once."""
    counts = Counter(execution.request_id for execution in executions)
    return [
        Break(Rule.DUPLICATE, f"executed {counts[outcome.plan.request_id]} times: {outcome.describe()}")
        for outcome in outcomes
        if outcome.plan.class_name in classes and counts[outcome.plan.request_id] > 1
    ]


def _broken_rules(outcome: Outcome, executions: list[Execution]) -> list[Rule]:
    if outcome.left_s is not None:
        last_start_s = outcome.left_s + MAX_RUN_AFTER_LEAVING_S
        return [Rule.RAN_AFTER_LEAVING for execution in executions if execution.begun_s > last_start_s]
    rules = []
    if outcome.is_foreign:
        rules.append(Rule.FOREIGN)
    if _is_late(outcome):
        rules.append(Rule.LATE)
    elif outcome.first_byte_s is None:
        rules.append(Rule.UNANSWERED)
    elif _is_cut_off(outcome, executions):
        rules.append(Rule.CUT_OFF)
    return rules


def _is_late(outcome: Outcome) -> bool:
    """Return whether the answer, or the close in its place, came more than MAX_DELAY_S after its time."""
    if outcome.due_s is None or outcome.ended_s is None:
        return False
    timed_s = outcome.ended_s
    if outcome.answer_bytes > LARGE_ANSWER_BYTES or outcome.plan.behavior.size > LARGE_ANSWER_BYTES:
        timed_s = outcome.first_byte_s or timed_s
    return timed_s > outcome.due_s + MAX_DELAY_S + CLOCK_SLACK_S


def _is_cut_off(outcome: Outcome, executions: list[Execution]) -> bool:
    """Return whether a large answer was not passed on although its endpoint was still writing it."""
    behavior = outcome.plan.behavior
    if behavior.size <= LARGE_ANSWER_BYTES or behavior.hang >= 0 or outcome.plan.read_rate:
        return False
    if outcome.status == HTTPStatus.CONFLICT:
        return False  # the answer belongs to another request with the same id
    is_whole = outcome.is_complete and outcome.status == 200 and outcome.answer_bytes >= behavior.size
    return not is_whole and any(execution.was_cut_off_s is not None for execution in executions)
