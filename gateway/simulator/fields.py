"""Parsers of the fields of the simulator's messages.

Each function converts the text of a field to a value, and raises ValueError or KeyError if the text is
invalid.
"""

from __future__ import annotations

import math

from gateway.interface.events import AttemptResult, EndpointState

NO_VALUE = "-"  # the text of a field that has no value

_ATTEMPT_RESULTS = {
    "ok": AttemptResult.OK,
    "error": AttemptResult.ERROR,
    "full": AttemptResult.OVERLOADED,
    "timeout": AttemptResult.TIMEOUT,
    "connect_failed": AttemptResult.CONNECT_FAILED,
    "reset": AttemptResult.RESET,
    "cancelled": AttemptResult.CANCELLED,
    "moot": AttemptResult.NOT_SENT,
}
_ENDPOINT_STATES = {
    "Running": EndpointState.READY,
    "Stopping": EndpointState.DRAINING,
    "Deleted": EndpointState.REMOVED,
}


def parse_number(text: str) -> float:
    """Return a finite number; 0 if the field has no value."""
    if text == NO_VALUE:
        return 0.0
    value = float(text)
    if not math.isfinite(value):
        raise ValueError(f"{text!r} is not a finite number")
    return value


def parse_integer(text: str) -> int:
    """Return an integer; 0 if the field has no value."""
    return 0 if text == NO_VALUE else int(text)


def parse_non_negative_integer(text: str) -> int:
    """Return an integer that is not negative; the field must have a value."""
    value = int(text)
    if value < 0:
        raise ValueError(f"{text!r} is negative")
    return value


def parse_text(text: str) -> str:
    """Return the text itself, which must not be empty; the field must have a value."""
    if not text or text == NO_VALUE:
        raise ValueError("the field has no value")
    return text


def parse_flag(text: str) -> bool:
    """Return a boolean, written as 0 or 1; False if the field has no value."""
    if text not in ("0", "1", NO_VALUE):
        raise ValueError(f"{text!r} is neither 0 nor 1")
    return text == "1"


def parse_bytes(text: str) -> bytes:
    """Return bytes, written in hexadecimal; no bytes if the field has no value."""
    return b"" if text == NO_VALUE else bytes.fromhex(text)


def parse_numbers(text: str) -> tuple[float, ...]:
    """Return numbers, separated by commas; none if the field is empty or has no value."""
    return () if text in (NO_VALUE, "") else tuple(parse_number(part) for part in text.split(","))


def parse_attempt_result(text: str) -> AttemptResult:
    """Return the result of an attempt; raises KeyError if it is unknown."""
    return _ATTEMPT_RESULTS[text]


def parse_endpoint_state(text: str) -> EndpointState:
    """Return the state of an endpoint; raises KeyError if it is unknown."""
    return _ENDPOINT_STATES[text]
