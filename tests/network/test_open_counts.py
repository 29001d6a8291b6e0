"""Tests that the policy counts the same requests and attempts as open as the network code has."""

import contextlib
import itertools

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from support.open_work import ENDPOINT_COUNT, InjectedError, OpenWork

from gateway.interface.events import AttemptResult, EndpointState

INDEX = st.integers(0, 7)
STATES = [[state] * ENDPOINT_COUNT for state in EndpointState]

# One argument tuple for each step is enough for the pairs, in which there is one request with one attempt.
STEPS = {
    "arrive": (0, 0),
    "complete": (0,),
    "release_body": (0,),
    "leave": (0,),
    "leave_unread": (0,),
    "begin_response": (0,),
    "forward": (0,),
    "retire": (),
    "resume": (),
}
STEP_LIST = [
    *[(name, arguments, {}) for name, arguments in STEPS.items()],
    *[("end_attempt", (0, result), {}) for result in AttemptResult],
    *[("update_endpoints", (states,), {}) for states in STATES],
    ("arrive", (1, 1), {"is_complete": False}),
    ("set_pool", (), {"is_unsent": True}),
]


def step_id(step):
    name, arguments, _ = step
    return "-".join([name, *(str(argument) for argument in arguments[1:])])


@pytest.mark.parametrize("may_cancel", [True, False])
@pytest.mark.parametrize("is_complete", [True, False])
@pytest.mark.parametrize("first", STEP_LIST, ids=step_id)
def test_any_two_events_of_one_turn_leave_equal_counts(first, is_complete, may_cancel):
    """Guards against attempts that the policy counts for good, until it starts no further ones."""
    for second, third in itertools.product(STEP_LIST, (None, ("leave", (0,), {}))):
        work = OpenWork(may_cancel=may_cancel)
        work.arrive(0, 0, is_complete=is_complete)
        work.turn()
        for name, arguments, options in (step for step in (first, second, third) if step):
            getattr(work, name)(*arguments, **options)
        work.turn()
        work.check_counts()
        work.finish()


def turns(*, with_errors):
    """Return a strategy of turns, each of which is a list of the steps before it."""
    choices = [
        st.tuples(
            st.just("arrive"), st.tuples(INDEX, INDEX), st.fixed_dictionaries({"is_complete": st.booleans()})
        ),
        *[
            st.tuples(st.just(name), st.tuples(INDEX), st.just({}))
            for name in ("complete", "release_body", "leave", "leave_unread", "begin_response", "forward")
        ],
        st.tuples(st.just("end_attempt"), st.tuples(INDEX, st.sampled_from(AttemptResult)), st.just({})),
        st.tuples(st.just("end_attempt"), st.tuples(INDEX, st.just(AttemptResult.OK)), st.just({})),
        st.tuples(
            st.just("update_endpoints"),
            st.tuples(st.lists(st.sampled_from(EndpointState), max_size=ENDPOINT_COUNT)),
            st.just({}),
        ),
        st.tuples(st.sampled_from(["retire", "resume"]), st.just(()), st.just({})),
        st.tuples(st.just("set_pool"), st.just(()), st.fixed_dictionaries({"is_unsent": st.booleans()})),
        st.tuples(st.just("advance"), st.tuples(st.sampled_from([1.0, 40.0, 300.0, 2500.0])), st.just({})),
    ]
    if with_errors:
        choices += [
            st.tuples(st.just("raise_in_response"), st.tuples(INDEX), st.just({})),
            st.tuples(st.just("set_pool"), st.just(()), st.fixed_dictionaries({"raises": st.booleans()})),
        ]
    turn = st.lists(st.one_of(choices), min_size=1, max_size=5)
    return st.lists(turn, min_size=4, max_size=16)


def play(script, **changes):
    """Take the steps of each turn, and check the counts after each turn and at the end."""
    work = OpenWork(**changes)
    work.turn()
    for steps in script:
        for name, arguments, options in steps:
            with contextlib.suppress(InjectedError):  # the event loop logs the error of a callback
                getattr(work, name)(*arguments, **options)
        work.turn()
        work.check_counts()
    work.finish()
    assert work.controller.open_counts().executing_attempts == 0


@settings(max_examples=200, deadline=None, derandomize=True)
@given(turns(with_errors=False), st.booleans(), st.booleans())
def test_counts_are_equal_after_any_order_of_events(script, may_cancel, may_hedge):
    play(script, may_cancel=may_cancel, may_hedge=may_hedge)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(turns(with_errors=True), st.booleans())
def test_counts_are_equal_although_attempts_and_responses_raise_errors(script, may_cancel):
    """Guards against an attempt whose result is lost with an exception of another step."""
    play(script, may_cancel=may_cancel)


@pytest.mark.parametrize("step", ["_send_gossip", "_request_wake_up", "_on_timer"])
def test_actions_of_a_turn_are_returned_although_a_later_step_raises(step):
    """Guards against attempts that are counted and never sent, because their actions are lost."""
    work = OpenWork()
    work.turn()
    original = getattr(work.controller, step)

    def fail_once(*_arguments):
        setattr(work.controller, step, original)
        raise InjectedError

    setattr(work.controller, step, fail_once)
    work.arrive(0, 0)
    work.advance(200.0)
    work.turn()
    work.check_counts()
    work.finish()


def test_request_is_dispatched_once_although_another_one_in_the_queue_raises():
    work = OpenWork()
    work.update_endpoints([EndpointState.DRAINING] * ENDPOINT_COUNT)
    for _ in range(3):
        work.arrive(0, 0)
    work.turn()
    selector = work.controller.flow.attempts.selector
    original = selector.choose_endpoint
    calls = itertools.count()

    def fail_at_the_second(request, eligible):
        if next(calls) == 1:
            raise InjectedError
        return original(request, eligible)

    selector.choose_endpoint = fail_at_the_second
    work.update_endpoints([EndpointState.READY] * ENDPOINT_COUNT)
    work.turn()
    work.check_counts()
    work.turn()
    work.advance(300.0)
    work.turn()
    work.check_counts()
    assert sorted(key[1] for key in work.attempts.in_flight) == [0, 0, 0]
