"""Translates the simulator's messages into events, and actions into lines for the simulator."""

from __future__ import annotations

from collections.abc import Callable

from gateway.interface import actions, events
from gateway.simulator import fields
from gateway.simulator.messages import Message, MessageName

_CLIENT_RETRY_BIT = 2  # bit of the field stateBits that is set if the client repeats an earlier request
_SNAPSHOT_MODES = ("full", "cached")  # modes of an endpoint update that lists all endpoints
_FAILED_MODE = "failed"  # mode of an endpoint update that failed
_INCREMENTAL_MODE = "delta"  # mode of an endpoint update that lists only the changed endpoints
_MODES = (*_SNAPSHOT_MODES, _FAILED_MODE, _INCREMENTAL_MODE)


def is_event(message: Message) -> bool:
    """Return whether a message by itself translates to an event of the controller."""
    return message.wire_name in _TRANSLATORS


def event_from(message: Message) -> events.Event:
    """Return the event to which a message translates; raises WireError if a field is invalid.

    The caller must have checked `is_event` and called `Message.check_fields`.
    """
    return _TRANSLATORS[message.wire_name](message)


def endpoint_from(message: Message) -> events.Endpoint:
    """Return the endpoint in an ENDPOINT message; raises WireError if a field is invalid."""
    return events.Endpoint(
        id=message.read("worker", fields.parse_text),
        zone=message.read("zone", str),
        cell=message.read("pod", fields.parse_integer),
        state=message.read("health", fields.parse_endpoint_state),
        weight=message.read("share", fields.parse_number),
        started_at_ms=message.read("onlineSinceMs", fields.parse_number),
    )


def update_from(mode: str, endpoints: list[events.Endpoint]) -> events.EndpointUpdate:
    """Return the event for an ENDPOINT_UPDATE message with this mode and the endpoints that follow it."""
    return events.EndpointUpdate(
        tuple(endpoints), is_snapshot=mode in _SNAPSHOT_MODES, failed=mode == _FAILED_MODE
    )


def parse_update_mode(text: str) -> str:
    """Return the mode of an ENDPOINT_UPDATE message; raises ValueError if it is unknown."""
    if text not in _MODES:
        raise ValueError(f"{text!r} is none of {_MODES}")
    return text


def line_for(action: actions.Action) -> str:
    """Return the line that requests an action from the simulator, without its line end."""
    match action:
        case actions.SendAttempt(request_id, endpoint, timeout_ms):
            return f"HAND_OFF\t{request_id}\t{endpoint}\t{timeout_ms:.3f}"
        case actions.Reject(request_id, retry_after_ms):
            return f"DENY\t{request_id}\t{retry_after_ms:.3f}"
        case actions.Fail(request_id):
            return f"FINISH_ERROR\t{request_id}"
        case actions.CancelAttempt(request_id, attempt):
            return f"DROP_ATTEMPT\t{request_id}\t{attempt}"
        case actions.ForwardResponse():
            raise ValueError("the simulator reports no response that is being buffered")
        case actions.SetTimer(after_ms, name):
            return f"SET_ALARM\t{after_ms:.3f}\t{name}"
        case actions.SendGossip(receiver, data):
            return f"NOTIFY\t{receiver}\t{data.hex() or fields.NO_VALUE}"
        case actions.CheckHealth(endpoint):
            return f"INSPECT\t{endpoint}"
        case actions.SubscribeEndpoints():
            return "TRACK\t1"


def _request_arrived(message: Message) -> events.RequestArrived:
    return events.RequestArrived(
        id=message.read("requestId", fields.parse_non_negative_integer),
        first_gateway=int(message.read("setFrom", fields.parse_number)),
        spread=int(message.read("doors", fields.parse_number)),
        units=message.read("sizeUnits", fields.parse_number),
        deadline_at_ms=message.read("dueMs", fields.parse_number),
        is_client_retry=bool(message.read("stateBits", fields.parse_integer) & _CLIENT_RETRY_BIT),
        customer=message.read("member", fields.parse_text),
        class_name=message.read("category", fields.parse_text),
        plan_name=message.read("gradeOfService", fields.parse_text),
    )


def _response_started(message: Message) -> events.ResponseStarted:
    request_id = message.read("requestId", fields.parse_non_negative_integer)
    endpoint = message.read("worker", fields.parse_text)
    message.read("rttMs", fields.parse_number)  # not part of the event, but an invalid value is an error
    attempt = message.read("roundNo", fields.parse_non_negative_integer)
    return events.ResponseStarted(request_id, attempt, endpoint)


def _attempt_ended(message: Message) -> events.AttemptEnded:
    return events.AttemptEnded(
        id=message.read("requestId", fields.parse_non_negative_integer),
        attempt=message.read("roundNo", fields.parse_non_negative_integer),
        actual_units=message.read("actual", fields.parse_number),
        endpoint=message.read("worker", fields.parse_text),
        elapsed_ms=message.read("rttMs", fields.parse_number),
        result=message.read("result", fields.parse_attempt_result),
        final=message.read("final", fields.parse_flag),
        used_percent_plus_one=message.read("quotaUse", fields.parse_integer),
        load=message.read("load", fields.parse_numbers),
    )


def _client_disconnected(message: Message) -> events.ClientDisconnected:
    return events.ClientDisconnected(message.read("requestId", fields.parse_non_negative_integer))


def _timer_fired(message: Message) -> events.TimerFired:
    return events.TimerFired(message.read("name", fields.parse_text))


def _health_checked(message: Message) -> events.HealthChecked:
    return events.HealthChecked(
        endpoint=message.read("worker", fields.parse_text),
        elapsed_ms=message.read("rttMs", fields.parse_number),
        result=message.read("result", fields.parse_attempt_result),
        load=message.read("load", fields.parse_numbers),
    )


def _gossip_received(message: Message) -> events.GossipReceived:
    return events.GossipReceived(
        sender=message.read("originPeer", fields.parse_non_negative_integer),
        data=message.read("data", fields.parse_bytes),
    )


def _counter_replied(message: Message) -> events.CounterReplied:
    # Only the counter's name is part of the event, but an invalid value of another field is an error.
    message.read("nowAt", fields.parse_number)
    message.read("result", fields.parse_attempt_result)
    message.read("rttMs", fields.parse_number)
    return events.CounterReplied(message.read("counter", fields.parse_text))


# The function that translates a message to an event, by the wire name of the message.
_TRANSLATORS: dict[str, Callable[[Message], events.Event]] = {
    MessageName.REQUEST_ARRIVED: _request_arrived,
    MessageName.RESPONSE_STARTED: _response_started,
    MessageName.ATTEMPT_ENDED: _attempt_ended,
    MessageName.CLIENT_DISCONNECTED: _client_disconnected,
    MessageName.TIMER_FIRED: _timer_fired,
    MessageName.HEALTH_CHECKED: _health_checked,
    MessageName.GOSSIP_RECEIVED: _gossip_received,
    MessageName.COUNTER_REPLIED: _counter_replied,
}
