"""The messages that the simulator sends: their names, their fields, and their form as lines of text."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from enum import StrEnum
from typing import TypeVar

from gateway.errors import GatewayError

MAX_REPORTED_TEXT = 80  # length, in characters, to which the text of a line is cut in error messages

_Value = TypeVar("_Value")


class WireError(GatewayError):
    """A line that cannot be read; the text names the message and the field."""


class MessageName(StrEnum):
    """The messages from the simulator; the values are the names on the wire."""

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


_NAMES = {name.value: name for name in MessageName}

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

_POSITIONS: dict[str, dict[str, int]] = {
    name: {field: position for position, field in enumerate(fields)} for name, fields in _FIELDS.items()
}
_NO_FIELDS: dict[str, int] = {}

_LAST_FIELD_MAY_HAVE_TABS = (MessageName.START_INSTANCE,)


class Message:
    """One message: its name, and its fields, which are read by their names."""

    __slots__ = ("_positions", "_texts", "name", "wire_name")

    def __init__(self, line: str) -> None:
        """Split a line; `name` is None for an unknown message, `wire_name` is the name as received."""
        self.wire_name, *self._texts = line.rstrip("\n").split("\t")
        self.name = _NAMES.get(self.wire_name)
        self._positions = _POSITIONS.get(self.wire_name, _NO_FIELDS)

    def check_fields(self) -> None:
        """Raise WireError where the number of fields is wrong; has to be called before `read`."""
        count = len(self._positions)
        if len(self._texts) == count:
            return
        if self.name in _LAST_FIELD_MAY_HAVE_TABS and len(self._texts) > count:
            self._texts[count - 1 :] = ["\t".join(self._texts[count - 1 :])]
        if len(self._texts) != count:
            raise WireError(f"{self.wire_name}: {len(self._texts)} fields in place of {count}")

    def read(self, field: str, convert: Callable[[str], _Value]) -> _Value:
        """Return the value of a field; raises WireError where it is invalid."""
        text = self._texts[self._positions[field]]
        try:
            return convert(text)
        except (ValueError, KeyError) as error:
            raise self.error(field, f"cannot read {text[:MAX_REPORTED_TEXT]!r}") from error

    def error(self, field: str, problem: str) -> WireError:
        """Return an error that names the message and one of its fields."""
        return WireError(f"{self.wire_name}: field {field}: {problem}")


def messages_of(source: Iterator[str]) -> Iterator[Message]:
    """Return the messages in the lines of a source."""
    return map(Message, source)
