"""The adapter to the simulator: it reads batches of messages, runs the controllers, and writes their actions.

The simulator runs many gateways (instances). The adapter runs one controller for each instance, and the
controllers make all decisions. Invalid input ends the process with one error message.
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
    MAX_QUOTED_CHARS,
    Message,
    MessageName,
    WireError,
    parse_messages,
)
from gateway.simulator.translation import (
    endpoint_from,
    event_from,
    is_event,
    line_for,
    parse_update_mode,
    update_from,
)

EXIT_OK = 0  # exit code if the input ended
EXIT_CONTROLLER_ERROR = 1  # exit code if a controller raised an error
EXIT_WIRE_ERROR = 2  # exit code if the input was invalid

_END_OF_REPLIES = "FINISHED"  # the line after the replies to a batch

# Messages that are invalid within a batch: batches cannot be nested, and each ENDPOINT is read together with
# its ENDPOINT_UPDATE.
_INVALID_IN_BATCH = (MessageName.BATCH_START, MessageName.ENDPOINT)


class ControllerError(GatewayError):
    """An error in a controller; its text is the report to the simulator, its cause the original error."""

    def __init__(self, instance: int, error: Exception) -> None:
        """Compose the report, with the text of `error` on a single line, because each message is one line."""
        error_text = " ".join(str(error).split())
        super().__init__(f"FROM\t{instance}\nBUG\tinstance {instance}: {type(error).__name__}: {error_text}")


class Batch:
    """One batch of messages: its time in ms, and the events of each instance in the order of receipt.

    Each instance with an entry in `events` gets one turn, even if its list is empty.
    """

    def __init__(self, now_ms: float) -> None:
        """Create an empty batch."""
        self.now_ms = now_ms
        self.events: dict[int, list[Event]] = {}

    def add(self, instance: int, event: Event) -> None:
        """Append an event of an instance, which then has a turn in this batch."""
        self.events.setdefault(instance, []).append(event)

    def restart(self, instance: int) -> None:
        """Discard the earlier events of an instance that starts in this batch, and give it a turn."""
        self.remove(instance)
        self.events[instance] = []

    def remove(self, instance: int) -> None:
        """Discard the events of an instance, which then has no turn."""
        self.events.pop(instance, None)


class SimulatorAdapter:
    """Runs the controllers of many instances, which share no state."""

    def __init__(self, source: Iterator[str], sink: TextIO, error_output: TextIO) -> None:
        """Read lines from `source` and write replies to `sink`.

        Unknown messages are skipped; `error_output` gets one line for each of their names.
        """
        self._messages = parse_messages(source)
        self._sink = sink
        self._error_output = error_output
        self._controllers: dict[int, Controller] = {}
        self._reported_names: set[str] = set()  # wire names of the unknown messages that have been reported

    def run(self) -> None:
        """Process batches until the input ends; raises WireError and ControllerError."""
        for message in self._messages:
            if message.name is MessageName.BATCH_START:
                message.check_fields()
                batch = Batch(message.read("clock", fields.parse_number))
                if not self._read_batch(batch):
                    return
                self._reply(batch)
            elif message.wire_name:
                self._skip_unknown_message(message)

    def _read_batch(self, batch: Batch) -> bool:
        """Read messages into the batch up to its end; return False if the input ends before."""
        instance: int | None = None
        for message in self._messages:
            if instance is not None and is_event(message):
                message.check_fields()
                batch.add(instance, event_from(message))
            elif message.name is MessageName.BATCH_END:
                return True
            elif message.name is None or message.name in _INVALID_IN_BATCH:
                self._skip_unknown_message(message)
            else:
                message.check_fields()
                instance = self._handle_control_message(batch, instance, message)
        return False

    def _handle_control_message(self, batch: Batch, instance: int | None, message: Message) -> int:
        """Select, start, stop or update an instance, and return the number of the selected instance."""
        if message.name is MessageName.SELECT_INSTANCE:
            return message.read("gatekeeper", fields.parse_non_negative_integer)
        if instance is None:
            raise WireError(f"{message.wire_name}: no instance has been selected by SWITCH_TO in this batch")
        match message.name:
            case MessageName.STOP_INSTANCE:
                self._controllers.pop(instance, None)
                batch.remove(instance)
            case MessageName.START_INSTANCE:
                self._start_instance(instance, message)
                batch.restart(instance)
            case MessageName.ENDPOINT_UPDATE:
                batch.add(instance, self._read_update(message))
        return instance

    def _start_instance(self, instance: int, message: Message) -> None:
        """Create the controller of an instance, replacing an earlier one; raises WireError."""
        seed = message.read("salt", fields.parse_integer)
        try:
            settings = settings_from(json.loads(message.read("info", str)))
        except SettingsError as error:
            raise WireError(f"{message.wire_name}: field {error}") from error
        except ValueError as error:
            raise message.field_error("info", f"invalid JSON: {error}") from error
        self._controllers[instance] = Controller(settings, seed)

    def _read_update(self, message: Message) -> EndpointUpdate:
        """Read the endpoints that follow an ENDPOINT_UPDATE message, and return the event of the update."""
        mode = message.read("mode", parse_update_mode)
        message.read("rev", fields.parse_integer)  # not part of the event, but an invalid value is an error
        expected = message.read("rows", fields.parse_integer)
        endpoints: list[Endpoint] = []
        while len(endpoints) < expected:
            row = next(self._messages, None)
            if row is None or row.name is not MessageName.ENDPOINT:
                raise message.field_error(
                    "rows", f"expected {expected} rows of the message WORKER, received {len(endpoints)}"
                )
            row.check_fields()
            endpoints.append(endpoint_from(row))
        return update_from(mode, endpoints)

    def _reply(self, batch: Batch) -> None:
        """Run one turn of each instance in the batch, and write the replies of all."""
        lines: list[str] = []
        for instance, new_events in batch.events.items():
            lines += self._run_turn(instance, batch.now_ms, new_events)
        lines.append(_END_OF_REPLIES)
        self._sink.write("".join(f"{line}\n" for line in lines))
        self._sink.flush()

    def _run_turn(self, instance: int, now_ms: float, new_events: list[Event]) -> list[str]:
        """Let the controller of an instance handle events, and return the lines of its actions.

        Raises WireError if the instance has not been started, and ControllerError if the controller fails.
        """
        controller = self._controllers.get(instance)
        if controller is None:
            raise WireError(
                f"SWITCH_TO: field gatekeeper: instance {instance} has not been started by CONFIGURE"
            )
        try:
            actions = controller.handle(now_ms, new_events)
        except Exception as error:  # any error is reported to the simulator
            raise ControllerError(instance, error) from error
        for event_error in controller.errors:
            raise ControllerError(instance, event_error) from event_error
        return [f"FROM\t{instance}", *map(line_for, actions)] if actions else []

    def _skip_unknown_message(self, message: Message) -> None:
        """Skip an unknown message, reporting each name once; raise WireError if the message is known."""
        if message.name is not None:
            raise WireError(f"{message.wire_name}: message is not allowed in this place")
        if message.wire_name not in self._reported_names:
            self._reported_names.add(message.wire_name)
            name = message.wire_name[:MAX_QUOTED_CHARS]
            print(f"simulator: ignoring unknown message {name!r}", file=self._error_output)


def main() -> int:
    """Run the adapter on standard input and output, and return the exit code."""
    _use_wire_encoding(sys.stdin)
    _use_wire_encoding(sys.stdout)
    try:
        SimulatorAdapter(iter(sys.stdin.readline, ""), sys.stdout, sys.stderr).run()
    except (WireError, UnicodeDecodeError) as error:
        print(f"simulator: {error}", file=sys.stderr)
        return EXIT_WIRE_ERROR
    except ControllerError as error:
        traceback.print_exception(error.__cause__, file=sys.stderr)
        print(f"{error}\n{_END_OF_REPLIES}", flush=True)
        return EXIT_CONTROLLER_ERROR
    return EXIT_OK


def _use_wire_encoding(stream: TextIO) -> None:
    if isinstance(stream, io.TextIOWrapper):
        stream.reconfigure(encoding="utf-8", newline="\n")
