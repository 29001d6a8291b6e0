"""The conversions of the text fields of the simulator's messages.

Each function returns the value of one field. It raises ValueError or KeyError where the text is invalid.
"""

from __future__ import annotations

import math

from gateway.interface.events import AttemptResult, EndpointState

NO_VALUE = "-"  # text of a field without a value

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
_STATES = {
    "Running": EndpointState.READY,
    "Stopping": EndpointState.DRAINING,
    "Deleted": EndpointState.REMOVED,
}


def number(text: str) -> float:
    """Return a finite number; 0 where there is no value."""
    if text == NO_VALUE:
        return 0.0
    value = float(text)
    if not math.isfinite(value):
        raise ValueError(text)
    return value


def integer(text: str) -> int:
    """Return an integer; 0 where there is no value."""
    return 0 if text == NO_VALUE else int(text)


def natural(text: str) -> int:
    """Return an integer that is not negative."""
    value = int(text)
    if value < 0:
        raise ValueError(text)
    return value


def word(text: str) -> str:
    """Return a text that is not empty."""
    if not text or text == NO_VALUE:
        raise ValueError(text)
    return text


def flag(text: str) -> bool:
    """Return a boolean; False where there is no value."""
    if text not in ("0", "1", NO_VALUE):
        raise ValueError(text)
    return text == "1"


def hexadecimal(text: str) -> bytes:
    """Return bytes in hexadecimal form; no bytes where there is no value."""
    return b"" if text == NO_VALUE else bytes.fromhex(text)


def numbers(text: str) -> tuple[float, ...]:
    """Return a list of numbers; an empty one where there is no value."""
    return () if text in (NO_VALUE, "") else tuple(number(part) for part in text.split(","))


def result(text: str) -> AttemptResult:
    """Return the result of an attempt."""
    return _RESULTS[text]


def state(text: str) -> EndpointState:
    """Return the state of an endpoint."""
    return _STATES[text]
