"""The messages of the simulator's wire: their fields, and the events and actions that they stand for."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

from gateway.errors import GatewayError
from gateway.interface import actions, events
from gateway.interface.events import AttemptResult, EndpointState

_STATES = {
    "Running": EndpointState.READY,
    "Stopping": EndpointState.DRAINING,
    "Deleted": EndpointState.REMOVED,
}
_RESULTS = {
    "ok": AttemptResult.OK,
    "error": AttemptResult.ERROR,
    "full": AttemptResult.OVERLOADED,
    "timeout": AttemptResult.TIMEOUT,
    "connect_failed": AttemptResult.CONNECT_FAILED,
    "reset": AttemptResult.RESET,
    "cancelled": AttemptResult.CANCELLED,
    "moot": AttemptResult.NOT_SENT,
}
_RETRY_BIT = 2
_SNAPSHOT_MODES = ("full", "cached")
_FAILED_MODE = "failed"


class WireError(GatewayError):
    """A line that can't be read; the text names the message and the field."""


# ---- fields


def _number(text: str) -> float:
    if text == "-":
        return 0.0
    value = float(text)
    if not math.isfinite(value):
        raise ValueError(text)
    return value


def _integer(text: str) -> int:
    return 0 if text == "-" else int(text)


def _natural(text: str) -> int:
    value = int(text)
    if value < 0:
        raise ValueError(text)
    return value


def _word(text: str) -> str:
    if not text or text == "-":
        raise ValueError(text)
    return text


def _text(text: str) -> str:
    return text


def _flag(text: str) -> bool:
    if text not in ("0", "1", "-"):
        raise ValueError(text)
    return text == "1"


def _bytes(text: str) -> bytes:
    return b"" if text == "-" else bytes.fromhex(text)


def _row(text: str) -> tuple[float, ...]:
    return () if text in ("-", "") else tuple(_number(part) for part in text.split(","))


def _result(text: str) -> AttemptResult:
    return _RESULTS[text]


def _mode(text: str) -> str:
    if text not in ("delta", "full", "cached", "failed"):
        raise ValueError(text)
    return text


def _state(text: str) -> EndpointState:
    return _STATES[text]


_FIELDS: dict[str, tuple[tuple[str, Callable[[str], Any]], ...]] = {
    "SYNC": (("clock", _number),),
    "YOUR_TURN": (),
    "SWITCH_TO": (("gatekeeper", _natural),),
    "CONFIGURE": (("salt", _integer), ("info", _text)),
    "KILL": (),
    "FLEET": (("mode", _mode), ("rev", _integer), ("rows", _integer)),
    "WORKER": (
        ("worker", _word),
        ("zone", _text),
        ("sku", _text),
        ("pod", _integer),
        ("health", _state),
        ("share", _number),
        ("onlineSinceMs", _number),
    ),
    "REQUEST": (
        ("requestId", _natural),
        ("setFrom", _number),
        ("doors", _number),
        ("sizeUnits", _number),
        ("dueMs", _number),
        ("stateBits", _integer),
        ("member", _word),
        ("category", _word),
        ("gradeOfService", _word),
    ),
    "ACK_FIRST": (("requestId", _natural), ("worker", _word), ("rttMs", _number), ("roundNo", _natural)),
    "VERDICT": (
        ("requestId", _natural),
        ("roundNo", _natural),
        ("actual", _number),
        ("worker", _word),
        ("rttMs", _number),
        ("result", _result),
        ("final", _flag),
        ("quotaUse", _integer),
        ("load", _row),
    ),
    "CLIENT_GONE": (("requestId", _natural),),
    "FIRED": (("name", _word),),
    "PONG": (("worker", _word), ("rttMs", _number), ("result", _result), ("load", _row)),
    "FROM_PEER": (("originPeer", _natural), ("data", _bytes)),
    "LEDGER_REPLY": (("nowAt", _number), ("result", _result), ("rttMs", _number), ("counter", _word)),
}
_LAST_FIELD_HAS_TABS = ("CONFIGURE",)


def is_known(name: str) -> bool:
    """Return whether there is a message of this name."""
    return name in _FIELDS


def read_fields(name: str, parts: list[str]) -> list[Any]:
    """Return the values of one message; raises WireError."""
    fields = _FIELDS[name]
    if name in _LAST_FIELD_HAS_TABS and len(parts) > len(fields):
        parts = [*parts[: len(fields) - 1], "\t".join(parts[len(fields) - 1 :])]
    if len(parts) != len(fields):
        raise WireError(f"{name}: {len(parts)} fields where {len(fields)} are due")
    values = []
    for (field, read), part in zip(fields, parts, strict=True):
        try:
            values.append(read(part))
        except (ValueError, KeyError) as error:
            raise WireError(f"{name}: field {field}: cannot read {part[:80]!r}") from error
    return values


# ---- events and actions


def event_from(name: str, values: list[Any]) -> events.Event:
    """Return the event that a message of an instance stands for."""
    match name:
        case "REQUEST":
            return _arrival(*values)
        case "VERDICT":
            return _attempt_ended(*values)
        case "ACK_FIRST":
            number, endpoint, _elapsed_ms, attempt = values
            return events.ResponseStarted(number, attempt, endpoint)
        case "CLIENT_GONE":
            return events.ClientDisconnected(*values)
        case "FIRED":
            return events.TimerFired(*values)
        case "FROM_PEER":
            return events.GossipReceived(*values)
        case "PONG":
            return events.HealthChecked(*values)
        case _:
            _now, _result, _elapsed_ms, counter = values
            return events.CounterReplied(counter)


def endpoint_from(values: list[Any]) -> events.Endpoint:
    """Return the endpoint that a WORKER message tells of."""
    endpoint_id, zone, _type, cell, state, weight, started_ms = values
    return events.Endpoint(endpoint_id, zone, cell, state, weight, started_ms)


def update_from(mode: str, endpoints: list[events.Endpoint]) -> events.EndpointUpdate:
    """Return the update that a FLEET message and its rows stand for."""
    return events.EndpointUpdate(
        tuple(endpoints), is_snapshot=mode in _SNAPSHOT_MODES, failed=mode == _FAILED_MODE
    )


def line_for(action: actions.Action) -> str:
    """Return the line that asks the simulator for an action."""
    match action:
        case actions.SendAttempt(number, endpoint, timeout_ms):
            return f"HAND_OFF\t{number}\t{endpoint}\t{timeout_ms:.3f}"
        case actions.Reject(number, retry_after_ms):
            return f"DENY\t{number}\t{retry_after_ms:.3f}"
        case actions.Fail(number):
            return f"FINISH_ERROR\t{number}"
        case actions.CancelAttempt(number, attempt):
            return f"DROP_ATTEMPT\t{number}\t{attempt}"
        case actions.SetTimer(after_ms, name):
            return f"SET_ALARM\t{after_ms:.3f}\t{name}"
        case actions.SendGossip(receiver, data):
            return f"NOTIFY\t{receiver}\t{data.hex() or '-'}"
        case actions.CheckHealth(endpoint):
            return f"INSPECT\t{endpoint}"
        case actions.SubscribeEndpoints():
            return "TRACK\t1"


def _arrival(
    number: int,
    first_gateway: float,
    spread: float,
    units: float,
    deadline_at_ms: float,
    state_bits: int,
    customer: str,
    class_name: str,
    plan_name: str,
) -> events.RequestArrived:
    is_client_retry = bool(state_bits & _RETRY_BIT)
    return events.RequestArrived(
        number,
        customer,
        class_name,
        plan_name,
        deadline_at_ms,
        units,
        int(first_gateway),
        int(spread),
        is_client_retry,
    )


def _attempt_ended(
    number: int,
    attempt: int,
    actual_units: float,
    endpoint: str,
    elapsed_ms: float,
    result: AttemptResult,
    final: bool,
    used_percent: int,
    load: tuple[float, ...],
) -> events.AttemptEnded:
    return events.AttemptEnded(
        number, attempt, endpoint, elapsed_ms, result, final, actual_units, used_percent, load
    )
