"""Tests of the loop that passes events to the controller and carries out its actions."""

import asyncio
import logging

import pytest

from gateway.interface import actions
from gateway.interface.events import TimerFired
from gateway.network.clock import Clock
from gateway.network.controller_loop import ERROR_LOG_INTERVAL_MS, ControllerLoop

ACTIONS = {
    "send_attempt": actions.SendAttempt(1, "w1", 100.0),
    "reject": actions.Reject(1, 5.0),
    "fail": actions.Fail(1),
    "cancel_attempt": actions.CancelAttempt(1, 0),
    "set_timer": actions.SetTimer(1.0, "agenda"),
    "send_gossip": actions.SendGossip(2, b"data"),
    "check_health": actions.CheckHealth("w1"),
    "subscribe_endpoints": actions.SubscribeEndpoints(),
}


class ScriptedController:
    """Records the events of each turn and returns the next actions of a script."""

    def __init__(self, *script):
        self.script = list(script)
        self.turns = []
        self.errors = []

    def handle(self, _now_ms, events):
        self.turns.append(events)
        result = self.script.pop(0) if self.script else []
        if isinstance(result, Exception):
            raise result
        return result


class RecordingHandler:
    """Records each action with the name of the method that got it."""

    def __init__(self):
        self.calls = []

    def __getattr__(self, name):
        return lambda action: self.calls.append((name, action))


class ManualClock(Clock):
    """A clock that a test sets."""

    def __init__(self):
        self.now_ms = 1e6

    def now(self):
        return self.now_ms


@pytest.fixture
def handler():
    return RecordingHandler()


@pytest.fixture
def clock():
    return ManualClock()


async def run_turns():
    """Let the event loop make the calls that are due."""
    for _ in range(3):
        await asyncio.sleep(0)


def controller_loop(controller, handler, clock):
    return ControllerLoop(asyncio.get_running_loop(), clock, controller, handler)


async def test_events_of_one_event_loop_turn_are_one_controller_turn(handler, clock):
    controller = ScriptedController()
    turns = controller_loop(controller, handler, clock)
    turns.enqueue(TimerFired("a"))
    turns.enqueue(TimerFired("b"))
    assert not controller.turns
    await run_turns()
    turns.enqueue(TimerFired("c"))
    await run_turns()
    assert controller.turns == [[TimerFired("a"), TimerFired("b")], [TimerFired("c")]]


async def test_event_enqueued_by_an_action_comes_in_the_next_turn(handler, clock):
    controller = ScriptedController([ACTIONS["fail"]])
    turns = controller_loop(controller, handler, clock)
    handler.fail = lambda action: turns.enqueue(TimerFired("next"))
    turns.enqueue(TimerFired("first"))
    await run_turns()
    assert controller.turns == [[TimerFired("first")], [TimerFired("next")]]


@pytest.mark.parametrize("method", ACTIONS)
async def test_each_action_is_dispatched_to_its_method(method, handler, clock):
    turns = controller_loop(ScriptedController([ACTIONS[method]]), handler, clock)
    turns.enqueue(TimerFired("now"))
    await run_turns()
    assert handler.calls == [(method, ACTIONS[method])]


async def test_failing_turn_is_logged_once_in_an_interval_and_ends_no_later_turn(handler, clock, caplog):
    controller = ScriptedController(ValueError("a"), ValueError("b"), [ACTIONS["fail"]], ValueError("c"))
    turns = controller_loop(controller, handler, clock)

    async def lines_of_next_turn():
        caplog.clear()
        turns.enqueue(TimerFired("now"))
        await run_turns()
        return [record.getMessage() for record in caplog.records]

    line = "controller: 1 of 1 events failed (logged at most once in 10 s)"
    with caplog.at_level(logging.ERROR):
        assert await lines_of_next_turn() == [line]
        assert await lines_of_next_turn() == []
        assert await lines_of_next_turn() == []
        assert handler.calls == [("fail", ACTIONS["fail"])]
        clock.now_ms += ERROR_LOG_INTERVAL_MS
        assert await lines_of_next_turn() == [line]


async def test_errors_of_single_events_are_logged_and_the_actions_carried_out(handler, clock, caplog):
    controller = ScriptedController([ACTIONS["fail"]])
    controller.errors = [KeyError("event")]
    turns = controller_loop(controller, handler, clock)
    turns.enqueue(TimerFired("a"))
    turns.enqueue(TimerFired("b"))
    with caplog.at_level(logging.ERROR):
        await run_turns()
    (record,) = caplog.records
    assert record.getMessage().startswith("controller: 1 of 2 events failed")
    assert record.exc_info[1] is controller.errors[0]
    assert handler.calls == [("fail", ACTIONS["fail"])]
