"""The adapter to the simulator: it reads batches of messages, runs one controller per instance, and replies.

It takes no decisions. Input that cannot be read ends the process with one error message.
"""

from __future__ import annotations

import io
import json
import sys
import traceback
from collections.abc import Iterator
from typing import TextIO

from gateway.errors import GatewayError, SettingsError
from gateway.interface.events import Endpoint, EndpointUpdate, Event
from gateway.interface.settings_reader import settings_from
from gateway.policy.controller import Controller
from gateway.simulator import fields
from gateway.simulator.messages import (
    MAX_REPORTED_TEXT,
    Message,
    MessageName,
    WireError,
    messages_of,
)
from gateway.simulator.translation import (
    endpoint_from,
    event_from,
    is_event,
    line_for,
    update_from,
    update_mode,
)

EXIT_OK = 0  # exit code at the end of the input
EXIT_CONTROLLER_ERROR = 1  # exit code where a controller raised an error
EXIT_WIRE_ERROR = 2  # exit code where the input could not be read

_REPLIES_END = "FINISHED"  # line that ends the replies to a batch
_OUT_OF_PLACE_IN_BATCH = (MessageName.BATCH_START, MessageName.ENDPOINT)


class ControllerError(GatewayError):
    """An error that a controller raised; the text is its report on the wire, the cause is the error."""

    def __init__(self, instance: int, error: Exception) -> None:
        """Report the error of an instance."""
        text = " ".join(str(error).split())
        super().__init__(f"FROM\t{instance}\nBUG\tinstance {instance}: {type(error).__name__}: {text}")


class Batch:
    """One batch of messages: its time, and the events of each instance in the order of their receipt."""

    def __init__(self, now_ms: float) -> None:
        """Start with no event."""
        self.now_ms = now_ms
        self.events: dict[int, list[Event]] = {}

    def add(self, instance: int, event: Event) -> None:
        """Add an event of an instance."""
        self.events.setdefault(instance, []).append(event)

    def restart(self, instance: int) -> None:
        """Drop the events of an instance that starts in this batch; it has a turn even without events."""
        self.remove(instance)
        self.events[instance] = []

    def remove(self, instance: int) -> None:
        """Drop the events of an instance, which then has no turn."""
        self.events.pop(instance, None)


class SimulatorAdapter:
    """Runs the controllers of many instances, which share nothing but this process."""

    def __init__(self, source: Iterator[str], sink: TextIO, error_output: TextIO) -> None:
        """Read lines from the source, write replies to the sink, and report ignored messages."""
        self._messages = messages_of(source)
        self._sink = sink
        self._error_output = error_output
        self._controllers: dict[int, Controller] = {}
        self._reported: set[str] = set()  # names of unknown messages that have been reported

    def run(self) -> None:
        """Serve batches until the input ends; raises WireError and ControllerError."""
        for message in self._messages:
            if message.name is MessageName.BATCH_START:
                message.check_fields()
                batch = Batch(message.read("clock", fields.number))
                if not self._read_batch(batch):
                    return
                self._reply(batch)
            elif message.wire_name:
                self._ignore(message)

    def _read_batch(self, batch: Batch) -> bool:
        """Read the messages of one batch; return False where the input ends before the batch."""
        instance: int | None = None
        for message in self._messages:
            if instance is not None and is_event(message):
                message.check_fields()
                batch.add(instance, event_from(message))
            elif message.name is MessageName.BATCH_END:
                return True
            elif message.name is None or message.name in _OUT_OF_PLACE_IN_BATCH:
                self._ignore(message)
            else:
                message.check_fields()
                instance = self._on_control(batch, instance, message)
        return False

    def _on_control(self, batch: Batch, instance: int | None, message: Message) -> int:
        """Handle a message that is no event, and return the instance that is selected after it."""
        if message.name is MessageName.SELECT_INSTANCE:
            return message.read("gatekeeper", fields.natural)
        if instance is None:
            raise WireError(f"{message.wire_name}: no SWITCH_TO before it")
        match message.name:
            case MessageName.STOP_INSTANCE:
                self._controllers.pop(instance, None)
                batch.remove(instance)
            case MessageName.START_INSTANCE:
                self._start(instance, message)
                batch.restart(instance)
            case MessageName.ENDPOINT_UPDATE:
                batch.add(instance, self._read_update(message))
        return instance

    def _start(self, instance: int, message: Message) -> None:
        """Create the controller of an instance."""
        seed = message.read("salt", fields.integer)
        try:
            settings = settings_from(json.loads(message.read("info", str)))
        except SettingsError as error:
            raise WireError(f"{message.wire_name}: field {error}") from error
        except ValueError as error:
            raise message.error("info", "no JSON") from error
        self._controllers[instance] = Controller(settings, seed)

    def _read_update(self, message: Message) -> EndpointUpdate:
        """Read the endpoints that follow an ENDPOINT_UPDATE message."""
        mode = message.read("mode", update_mode)
        message.read("rev", fields.integer)  # the update has no revision, but an invalid one is an error
        count = message.read("rows", fields.integer)
        endpoints: list[Endpoint] = []
        while len(endpoints) < count:
            row = next(self._messages, None)
            if row is None or row.name is not MessageName.ENDPOINT:
                raise message.error("rows", f"{len(endpoints)} rows in place of {count}")
            row.check_fields()
            endpoints.append(endpoint_from(row))
        return update_from(mode, endpoints)

    def _reply(self, batch: Batch) -> None:
        """Run the turn of each instance of a batch, and write all replies."""
        lines: list[str] = []
        for instance, new_events in batch.events.items():
            lines += self._turn(instance, batch.now_ms, new_events)
        lines.append(_REPLIES_END)
        self._sink.write("".join(f"{line}\n" for line in lines))
        self._sink.flush()

    def _turn(self, instance: int, now_ms: float, new_events: list[Event]) -> list[str]:
        """Run one turn of an instance, and return its replies; raises WireError and ControllerError."""
        controller = self._controllers.get(instance)
        if controller is None:
            raise WireError(f"SWITCH_TO: field gatekeeper: {instance} is not configured")
        try:
            actions = controller.handle(now_ms, new_events)
        except Exception as error:  # any error is reported to the simulator
            raise ControllerError(instance, error) from error
        for event_error in controller.errors:
            raise ControllerError(instance, event_error) from event_error
        return [f"FROM\t{instance}", *map(line_for, actions)] if actions else []

    def _ignore(self, message: Message) -> None:
        """Report an unknown message once; raise WireError for a known one, which is out of place."""
        if message.name is not None:
            raise WireError(f"{message.wire_name}: out of place")
        if message.wire_name not in self._reported:
            self._reported.add(message.wire_name)
            name = message.wire_name[:MAX_REPORTED_TEXT]
            print(f"simulator: message {name!r} is unknown and ignored", file=self._error_output)


def main() -> int:
    """Serve standard input; return the exit code."""
    _use_wire_encoding(sys.stdin)
    _use_wire_encoding(sys.stdout)
    try:
        SimulatorAdapter(iter(sys.stdin.readline, ""), sys.stdout, sys.stderr).run()
    except (WireError, UnicodeDecodeError) as error:
        print(f"simulator: {error}", file=sys.stderr)
        return EXIT_WIRE_ERROR
    except ControllerError as error:
        traceback.print_exception(error.__cause__, file=sys.stderr)
        print(f"{error}\n{_REPLIES_END}", flush=True)
        return EXIT_CONTROLLER_ERROR
    return EXIT_OK


def _use_wire_encoding(stream: TextIO) -> None:
    if isinstance(stream, io.TextIOWrapper):
        stream.reconfigure(encoding="utf-8", newline="\n")
