"""The messages that the simulator sends: names, fields, and the parsing of lines.

A line consists of the name of a message and its fields, separated by tabs.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from enum import StrEnum
from typing import TypeVar

from gateway.errors import GatewayError

MAX_QUOTED_CHARS = 80  # maximum length of a text from the input that is quoted in an error message

_Value = TypeVar("_Value")


class WireError(GatewayError):
    """Invalid input from the simulator; the text names the message, and the field if one is invalid."""


class MessageName(StrEnum):
    """The messages from the simulator; each value is the name on the wire."""

    BATCH_START = "SYNC"
    BATCH_END = "YOUR_TURN"
    SELECT_INSTANCE = "SWITCH_TO"
    START_INSTANCE = "CONFIGURE"
    STOP_INSTANCE = "KILL"
    ENDPOINT_UPDATE = "FLEET"
    ENDPOINT = "WORKER"
    REQUEST_ARRIVED = "REQUEST"
    RESPONSE_STARTED = "ACK_FIRST"
    ATTEMPT_ENDED = "VERDICT"
    CLIENT_DISCONNECTED = "CLIENT_GONE"
    TIMER_FIRED = "FIRED"
    HEALTH_CHECKED = "PONG"
    GOSSIP_RECEIVED = "FROM_PEER"
    COUNTER_REPLIED = "LEDGER_REPLY"


_NAMES_BY_WIRE_NAME = {name.value: name for name in MessageName}

# The fields of each message, in the order in which a line has them.
_FIELDS: dict[MessageName, tuple[str, ...]] = {
    MessageName.BATCH_START: ("clock",),
    MessageName.BATCH_END: (),
    MessageName.SELECT_INSTANCE: ("gatekeeper",),
    MessageName.START_INSTANCE: ("salt", "info"),
    MessageName.STOP_INSTANCE: (),
    MessageName.ENDPOINT_UPDATE: ("mode", "rev", "rows"),
    MessageName.ENDPOINT: ("worker", "zone", "sku", "pod", "health", "share", "onlineSinceMs"),
    MessageName.REQUEST_ARRIVED: (
        "requestId",
        "setFrom",
        "doors",
        "sizeUnits",
        "dueMs",
        "stateBits",
        "member",
        "category",
        "gradeOfService",
    ),
    MessageName.RESPONSE_STARTED: ("requestId", "worker", "rttMs", "roundNo"),
    MessageName.ATTEMPT_ENDED: (
        "requestId",
        "roundNo",
        "actual",
        "worker",
        "rttMs",
        "result",
        "final",
        "quotaUse",
        "load",
    ),
    MessageName.CLIENT_DISCONNECTED: ("requestId",),
    MessageName.TIMER_FIRED: ("name",),
    MessageName.HEALTH_CHECKED: ("worker", "rttMs", "result", "load"),
    MessageName.GOSSIP_RECEIVED: ("originPeer", "data"),
    MessageName.COUNTER_REPLIED: ("nowAt", "result", "rttMs", "counter"),
}

# The position of each field in a line, by the wire name of the message and the name of the field.
_POSITIONS: dict[str, dict[str, int]] = {
    name: {field: position for position, field in enumerate(fields)} for name, fields in _FIELDS.items()
}
_NO_FIELDS: dict[str, int] = {}

# Messages whose last field, a JSON text, may contain tabs.
_LAST_FIELD_MAY_HAVE_TABS = (MessageName.START_INSTANCE,)


class Message:
    """One message of the simulator, whose fields are read by name."""

    __slots__ = ("_positions", "_texts", "name", "wire_name")

    def __init__(self, line: str) -> None:
        """Split a line; `wire_name` is the name as received, and `name` is None if it is unknown."""
        self.wire_name, *self._texts = line.rstrip("\n").split("\t")
        self.name = _NAMES_BY_WIRE_NAME.get(self.wire_name)
        self._positions = _POSITIONS.get(self.wire_name, _NO_FIELDS)

    def check_fields(self) -> None:
        """Raise WireError if the message has a wrong number of fields; must be called before `read`."""
        expected = len(self._positions)
        if len(self._texts) == expected:
            return
        if self.name in _LAST_FIELD_MAY_HAVE_TABS and len(self._texts) > expected:
            self._texts[expected - 1 :] = ["\t".join(self._texts[expected - 1 :])]
        if len(self._texts) != expected:
            raise WireError(f"{self.wire_name}: expected {expected} fields, received {len(self._texts)}")

    def read(self, field: str, parse: Callable[[str], _Value]) -> _Value:
        """Return the value of a field, converted by `parse`; raises WireError if the value is invalid."""
        text = self._texts[self._positions[field]]
        try:
            return parse(text)
        except (ValueError, KeyError) as error:
            raise self.field_error(field, f"invalid value {text[:MAX_QUOTED_CHARS]!r}") from error

    def field_error(self, field: str, problem: str) -> WireError:
        """Return an error that names the message, one of its fields, and the problem with the field."""
        return WireError(f"{self.wire_name}: field {field}: {problem}")


def parse_messages(lines: Iterator[str]) -> Iterator[Message]:
    """Return an iterator that parses each line when its message is requested."""
    return map(Message, lines)
