"""Tests of the parsing of the simulator's messages and of their translation."""

import math

import pytest

from gateway.interface import actions, events
from gateway.interface.events import AttemptResult, EndpointState
from gateway.simulator import fields
from gateway.simulator.messages import Message, MessageName, WireError
from gateway.simulator.translation import endpoint_from, event_from, line_for, parse_update_mode, update_from


def parse_message(text):
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
def test_line_is_parsed_to_a_message_with_its_name(line, name, wire_name):
    parsed = Message(line)
    assert (parsed.name, parsed.wire_name) == (name, wire_name)


@pytest.mark.parametrize("line", ["SYNC", "SYNC\t1\t2", "KILL\t1", "CONFIGURE\t1"])
def test_message_with_a_wrong_number_of_fields_is_rejected(line):
    with pytest.raises(WireError, match=r"^\w+: expected \d fields, received \d$"):
        parse_message(line)


def test_last_field_of_a_configure_message_may_contain_tabs():
    assert parse_message('CONFIGURE\t7\t{\t"a":\t1}').read("info", str) == '{\t"a":\t1}'


def test_invalid_field_is_reported_with_the_message_and_the_start_of_the_text():
    with pytest.raises(WireError, match=r"^SYNC: field clock: invalid value '9{79}x'$"):
        parse_message("SYNC\t" + "9" * 79 + "x" * 20).read("clock", fields.parse_number)


@pytest.mark.parametrize(
    ("parse", "text", "value"),
    [
        (fields.parse_number, "-", 0.0),
        (fields.parse_number, "-2.5", -2.5),
        (fields.parse_integer, "-", 0),
        (fields.parse_integer, "-3", -3),
        (fields.parse_non_negative_integer, "0", 0),
        (fields.parse_text, "w:1", "w:1"),
        (fields.parse_flag, "1", True),
        (fields.parse_flag, "0", False),
        (fields.parse_flag, "-", False),
        (fields.parse_bytes, "-", b""),
        (fields.parse_bytes, "00ff", b"\x00\xff"),
        (fields.parse_numbers, "-", ()),
        (fields.parse_numbers, "", ()),
        (fields.parse_numbers, "1,-,2.5", (1.0, 0.0, 2.5)),
        (fields.parse_attempt_result, "moot", AttemptResult.NOT_SENT),
        (fields.parse_attempt_result, "full", AttemptResult.OVERLOADED),
        (fields.parse_endpoint_state, "Stopping", EndpointState.DRAINING),
    ],
)
def test_valid_field_is_parsed(parse, text, value):
    assert parse(text) == value


@pytest.mark.parametrize(
    ("parse", "text"),
    [
        (fields.parse_number, "inf"),
        (fields.parse_number, "nan"),
        (fields.parse_number, ""),
        (fields.parse_integer, "1.5"),
        (fields.parse_non_negative_integer, "-1"),
        (fields.parse_non_negative_integer, "-"),
        (fields.parse_text, "-"),
        (fields.parse_text, ""),
        (fields.parse_flag, "2"),
        (fields.parse_bytes, "xyz"),
        (fields.parse_numbers, "1,"),
        (fields.parse_attempt_result, "great"),
        (fields.parse_endpoint_state, "Sleeping"),
        (parse_update_mode, "some"),
    ],
)
def test_invalid_field_is_rejected(parse, text):
    with pytest.raises((ValueError, KeyError)):
        parse(text)


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
    assert event_from(parse_message(line)) == event


@pytest.mark.parametrize(
    "line",
    [
        "ACK_FIRST\t5\tw:1\tsoon\t1",
        "LEDGER_REPLY\tnow\tok\t3\tname",
        "LEDGER_REPLY\t7\tgreat\t3\tname",
        "LEDGER_REPLY\t7\tok\tsoon\tname",
    ],
)
def test_invalid_field_that_is_not_part_of_the_event_is_rejected(line):
    with pytest.raises(WireError):
        event_from(parse_message(line))


def test_worker_message_is_translated_into_an_endpoint():
    endpoint = endpoint_from(parse_message("WORKER\tw:1\ta\tkind\t3\tRunning\t0.5\t100"))
    assert endpoint == events.Endpoint("w:1", "a", 3, EndpointState.READY, 0.5, 100.0)


@pytest.mark.parametrize(
    ("mode", "is_snapshot", "failed"),
    [("full", True, False), ("cached", True, False), ("delta", False, False), ("failed", False, True)],
)
def test_fleet_message_is_translated_by_its_mode(mode, is_snapshot, failed):
    assert update_from(parse_update_mode(mode), []) == events.EndpointUpdate((), is_snapshot, failed)


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
