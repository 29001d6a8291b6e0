"""The translation of the simulator's messages into events, and of actions into lines for the simulator."""

from __future__ import annotations

from collections.abc import Callable

from gateway.interface import actions, events
from gateway.simulator import fields
from gateway.simulator.messages import Message, MessageName

_RETRY_BIT = 2  # bit of a request's state that marks a client's retry
_SNAPSHOT_MODES = ("full", "cached")  # modes of an update that lists all endpoints
_FAILED_MODE = "failed"  # mode of an update that failed
_CHANGES_MODE = "delta"  # mode of an update that lists the changed endpoints
_MODES = (*_SNAPSHOT_MODES, _FAILED_MODE, _CHANGES_MODE)


def is_event(message: Message) -> bool:
    """Return whether a message stands for an event of an instance."""
    return message.wire_name in _EVENTS


def event_from(message: Message) -> events.Event:
    """Return the event of a message for which `is_event` holds; raises WireError for an invalid field."""
    return _EVENTS[message.wire_name](message)


def endpoint_from(message: Message) -> events.Endpoint:
    """Return the endpoint of an ENDPOINT message; raises WireError for an invalid field."""
    return events.Endpoint(
        id=message.read("worker", fields.word),
        zone=message.read("zone", str),
        cell=message.read("pod", fields.integer),
        state=message.read("health", fields.state),
        weight=message.read("share", fields.number),
        started_at_ms=message.read("onlineSinceMs", fields.number),
    )


def update_from(mode: str, endpoints: list[events.Endpoint]) -> events.EndpointUpdate:
    """Return the update of an ENDPOINT_UPDATE message with this mode, and of the endpoints that follow it."""
    return events.EndpointUpdate(
        tuple(endpoints), is_snapshot=mode in _SNAPSHOT_MODES, failed=mode == _FAILED_MODE
    )


def update_mode(text: str) -> str:
    """Return the mode of an ENDPOINT_UPDATE message; raises ValueError for an unknown one."""
    if text not in _MODES:
        raise ValueError(text)
    return text


def line_for(action: actions.Action) -> str:
    """Return the line that asks the simulator for an action."""
    match action:
        case actions.SendAttempt(request_id, endpoint, timeout_ms):
            return f"HAND_OFF\t{request_id}\t{endpoint}\t{timeout_ms:.3f}"
        case actions.Reject(request_id, retry_after_ms):
            return f"DENY\t{request_id}\t{retry_after_ms:.3f}"
        case actions.Fail(request_id):
            return f"FINISH_ERROR\t{request_id}"
        case actions.CancelAttempt(request_id, attempt):
            return f"DROP_ATTEMPT\t{request_id}\t{attempt}"
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
        id=message.read("requestId", fields.natural),
        first_gateway=int(message.read("setFrom", fields.number)),
        spread=int(message.read("doors", fields.number)),
        units=message.read("sizeUnits", fields.number),
        deadline_at_ms=message.read("dueMs", fields.number),
        is_client_retry=bool(message.read("stateBits", fields.integer) & _RETRY_BIT),
        customer=message.read("member", fields.word),
        class_name=message.read("category", fields.word),
        plan_name=message.read("gradeOfService", fields.word),
    )


def _response_started(message: Message) -> events.ResponseStarted:
    request_id = message.read("requestId", fields.natural)
    endpoint = message.read("worker", fields.word)
    message.read("rttMs", fields.number)  # the event has no such field, but an invalid value is an error
    attempt = message.read("roundNo", fields.natural)
    return events.ResponseStarted(request_id, attempt, endpoint)


def _attempt_ended(message: Message) -> events.AttemptEnded:
    return events.AttemptEnded(
        id=message.read("requestId", fields.natural),
        attempt=message.read("roundNo", fields.natural),
        actual_units=message.read("actual", fields.number),
        endpoint=message.read("worker", fields.word),
        elapsed_ms=message.read("rttMs", fields.number),
        result=message.read("result", fields.result),
        final=message.read("final", fields.flag),
        used_percent_plus_one=message.read("quotaUse", fields.integer),
        load=message.read("load", fields.numbers),
    )


def _client_disconnected(message: Message) -> events.ClientDisconnected:
    return events.ClientDisconnected(message.read("requestId", fields.natural))


def _timer_fired(message: Message) -> events.TimerFired:
    return events.TimerFired(message.read("name", fields.word))


def _health_checked(message: Message) -> events.HealthChecked:
    return events.HealthChecked(
        endpoint=message.read("worker", fields.word),
        elapsed_ms=message.read("rttMs", fields.number),
        result=message.read("result", fields.result),
        load=message.read("load", fields.numbers),
    )


def _gossip_received(message: Message) -> events.GossipReceived:
    return events.GossipReceived(
        sender=message.read("originPeer", fields.natural),
        data=message.read("data", fields.hexadecimal),
    )


def _counter_replied(message: Message) -> events.CounterReplied:
    # The event has only the name, but an invalid value of another field is an error.
    message.read("nowAt", fields.number)
    message.read("result", fields.result)
    message.read("rttMs", fields.number)
    return events.CounterReplied(message.read("counter", fields.word))


_EVENTS: dict[str, Callable[[Message], events.Event]] = {
    MessageName.REQUEST_ARRIVED: _request_arrived,
    MessageName.RESPONSE_STARTED: _response_started,
    MessageName.ATTEMPT_ENDED: _attempt_ended,
    MessageName.CLIENT_DISCONNECTED: _client_disconnected,
    MessageName.TIMER_FIRED: _timer_fired,
    MessageName.HEALTH_CHECKED: _health_checked,
    MessageName.GOSSIP_RECEIVED: _gossip_received,
    MessageName.COUNTER_REPLIED: _counter_replied,
}
