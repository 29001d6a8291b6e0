"""Tests of the messages of the simulator, their fields and their translation."""

import math

import pytest

from gateway.interface import actions, events
from gateway.interface.events import AttemptResult, EndpointState
from gateway.simulator import fields
from gateway.simulator.messages import Message, MessageName, WireError
from gateway.simulator.translation import endpoint_from, event_from, line_for, update_from, update_mode


def message(text):
    parsed = Message(text)
    parsed.check_fields()
    return parsed


@pytest.mark.parametrize(
    ("line", "name", "wire_name"),
    [
        ("KILL\n", MessageName.STOP_INSTANCE, "KILL"),
        ("SYNC\t12\n", MessageName.BATCH_START, "SYNC"),
        ("PARADE\t1\t2", None, "PARADE"),
        ("\n", None, ""),
    ],
)
def test_line_starts_with_the_name_of_its_message(line, name, wire_name):
    parsed = Message(line)
    assert (parsed.name, parsed.wire_name) == (name, wire_name)


@pytest.mark.parametrize("line", ["SYNC", "SYNC\t1\t2", "KILL\t1", "CONFIGURE\t1"])
def test_message_with_a_wrong_number_of_fields_is_an_error(line):
    with pytest.raises(WireError, match=r"^\w+: \d fields in place of \d$"):
        message(line)


def test_last_field_of_the_configuration_may_have_tabs():
    assert message('CONFIGURE\t7\t{\t"a":\t1}').read("info", str) == '{\t"a":\t1}'


def test_invalid_field_is_reported_with_the_message_and_the_start_of_the_text():
    with pytest.raises(WireError, match=r"^SYNC: field clock: cannot read '9{79}x'$"):
        message("SYNC\t" + "9" * 79 + "x" * 20).read("clock", fields.number)


@pytest.mark.parametrize(
    ("convert", "text", "value"),
    [
        (fields.number, "-", 0.0),
        (fields.number, "-2.5", -2.5),
        (fields.integer, "-", 0),
        (fields.integer, "-3", -3),
        (fields.natural, "0", 0),
        (fields.word, "w:1", "w:1"),
        (fields.flag, "1", True),
        (fields.flag, "0", False),
        (fields.flag, "-", False),
        (fields.hexadecimal, "-", b""),
        (fields.hexadecimal, "00ff", b"\x00\xff"),
        (fields.numbers, "-", ()),
        (fields.numbers, "", ()),
        (fields.numbers, "1,-,2.5", (1.0, 0.0, 2.5)),
        (fields.result, "moot", AttemptResult.NOT_SENT),
        (fields.result, "full", AttemptResult.OVERLOADED),
        (fields.state, "Stopping", EndpointState.DRAINING),
    ],
)
def test_valid_field_is_converted(convert, text, value):
    assert convert(text) == value


@pytest.mark.parametrize(
    ("convert", "text"),
    [
        (fields.number, "inf"),
        (fields.number, "nan"),
        (fields.number, ""),
        (fields.integer, "1.5"),
        (fields.natural, "-1"),
        (fields.natural, "-"),
        (fields.word, "-"),
        (fields.word, ""),
        (fields.flag, "2"),
        (fields.hexadecimal, "xyz"),
        (fields.numbers, "1,"),
        (fields.result, "great"),
        (fields.state, "Sleeping"),
        (update_mode, "some"),
    ],
)
def test_invalid_field_is_an_error(convert, text):
    with pytest.raises((ValueError, KeyError)):
        convert(text)


@pytest.mark.parametrize(
    ("line", "event"),
    [
        (
            "REQUEST\t5\t1\t2\t1.5\t2500\t2\tff00\tlook\tbasic",
            events.RequestArrived(5, "ff00", "look", "basic", 2500.0, 1.5, 1, 2, is_client_retry=True),
        ),
        ("ACK_FIRST\t5\tw:1\t40\t1", events.ResponseStarted(5, 1, "w:1")),
        (
            "VERDICT\t5\t1\t2\tw:1\t40\tok\t1\t31\t7,0.5",
            events.AttemptEnded(5, 1, "w:1", 40.0, AttemptResult.OK, True, 2.0, 31, (7.0, 0.5)),
        ),
        ("CLIENT_GONE\t5", events.ClientDisconnected(5)),
        ("FIRED\tagenda", events.TimerFired("agenda")),
        ("PONG\tw:1\t3\treset\t-", events.HealthChecked("w:1", 3.0, AttemptResult.RESET)),
        ("FROM_PEER\t2\t0102", events.GossipReceived(2, b"\x01\x02")),
        ("LEDGER_REPLY\t7\tok\t3\tname", events.CounterReplied("name")),
    ],
)
def test_message_is_translated_into_its_event(line, event):
    assert event_from(message(line)) == event


@pytest.mark.parametrize(
    "line",
    [
        "ACK_FIRST\t5\tw:1\tsoon\t1",
        "LEDGER_REPLY\tnow\tok\t3\tname",
        "LEDGER_REPLY\t7\tgreat\t3\tname",
        "LEDGER_REPLY\t7\tok\tsoon\tname",
    ],
)
def test_invalid_field_that_no_event_has_is_an_error(line):
    with pytest.raises(WireError):
        event_from(message(line))


def test_endpoint_is_translated():
    endpoint = endpoint_from(message("WORKER\tw:1\ta\tkind\t3\tRunning\t0.5\t100"))
    assert endpoint == events.Endpoint("w:1", "a", 3, EndpointState.READY, 0.5, 100.0)


@pytest.mark.parametrize(
    ("mode", "is_snapshot", "failed"),
    [("full", True, False), ("cached", True, False), ("delta", False, False), ("failed", False, True)],
)
def test_update_is_translated_by_its_mode(mode, is_snapshot, failed):
    assert update_from(update_mode(mode), []) == events.EndpointUpdate((), is_snapshot, failed)


@pytest.mark.parametrize(
    ("action", "line"),
    [
        (actions.SendAttempt(5, "w:1", 99.5, math.inf), "HAND_OFF\t5\tw:1\t99.500"),
        (actions.Reject(5, 250.0), "DENY\t5\t250.000"),
        (actions.Fail(5), "FINISH_ERROR\t5"),
        (actions.CancelAttempt(5, 1), "DROP_ATTEMPT\t5\t1"),
        (actions.SetTimer(12.0, "agenda"), "SET_ALARM\t12.000\tagenda"),
        (actions.SendGossip(2, b"\x01\xff"), "NOTIFY\t2\t01ff"),
        (actions.SendGossip(2, b""), "NOTIFY\t2\t-"),
        (actions.CheckHealth("w:1"), "INSPECT\tw:1"),
        (actions.SubscribeEndpoints(), "TRACK\t1"),
    ],
)
def test_action_is_written_as_one_line(action, line):
    assert line_for(action) == line
