"""The simulator's wire: reads batches of messages, hosts a controller for each instance, writes the replies.

Nothing in here decides anything. What can't be read ends the process with one plain message.
"""

from __future__ import annotations

import json
import sys
import traceback
from collections.abc import Iterator
from typing import Any, TextIO

from gateway.errors import GatewayError, SettingsError
from gateway.interface.events import Endpoint, EndpointUpdate, Event
from gateway.interface.settings_reader import settings_from
from gateway.policy.controller import Controller
from gateway.simulator.messages import (
    WireError,
    endpoint_from,
    event_from,
    is_known,
    line_for,
    read_fields,
    update_from,
)

EXIT_OK = 0
EXIT_CONTROLLER_ERROR = 1
EXIT_WIRE_ERROR = 2


class ControllerError(GatewayError):
    """A controller raised; the text is the wire's report of it, the cause is what it raised."""

    def __init__(self, instance: int, error: Exception) -> None:
        """Report the error of an instance."""
        text = " ".join(str(error).split())
        super().__init__(f"FROM\t{instance}\nBUG\tinstance {instance}: {type(error).__name__}: {text}")


class Batch:
    """One batch of messages: its time, and the events of each instance in the order in which they came."""

    def __init__(self, now_ms: float) -> None:
        """Begin with no event."""
        self.now_ms = now_ms
        self.events: dict[int, list[Event]] = {}

    def add(self, instance: int, event: Event) -> None:
        """Add an event of an instance."""
        self.events.setdefault(instance, []).append(event)

    def restart(self, instance: int) -> None:
        """Let an instance begin anew in this batch; it has a turn, whether anything happens or not."""
        self.remove(instance)
        self.events[instance] = []

    def remove(self, instance: int) -> None:
        """Drop the events of an instance."""
        self.events.pop(instance, None)


class Host:
    """Hosts many controllers that share nothing but this process."""

    def __init__(self, source: Iterator[str], sink: TextIO, complaints: TextIO) -> None:
        """Read lines from the source, write replies to the sink, and report skipped messages."""
        self._source = source
        self._sink = sink
        self._complaints = complaints
        self._controllers: dict[int, Controller] = {}
        self._reported: set[str] = set()

    def run(self) -> None:
        """Serve batches until the input ends; raises WireError and ControllerError."""
        for line in self._source:
            name, *parts = line.rstrip("\n").split("\t")
            if name == "SYNC":
                (now_ms,) = read_fields(name, parts)
                batch = Batch(now_ms)
                if not self._read_batch(batch):
                    return
                self._answer(batch)
            elif name:
                self._skip(name)

    def _read_batch(self, batch: Batch) -> bool:
        """Read one batch to its end; False when the input ends inside it."""
        instance: int | None = None
        for line in self._source:
            name, *parts = line.rstrip("\n").split("\t")
            if name == "YOUR_TURN":
                return True
            if not is_known(name) or name in ("SYNC", "WORKER"):
                self._skip(name)
                continue
            values = read_fields(name, parts)
            if name == "SWITCH_TO":
                (instance,) = values
            elif instance is None:
                raise WireError(f"{name}: no SWITCH_TO before it")
            else:
                self._take_in(batch, instance, name, values)
        return False

    def _take_in(self, batch: Batch, instance: int, name: str, values: list[Any]) -> None:
        """Take in one message to an instance."""
        match name:
            case "KILL":
                self._controllers.pop(instance, None)
                batch.remove(instance)
            case "CONFIGURE":
                self._start(instance, *values)
                batch.restart(instance)
            case "FLEET":
                batch.add(instance, self._read_update(*values))
            case _:
                batch.add(instance, event_from(name, values))

    def _read_update(self, mode: str, _revision: int, count: int) -> EndpointUpdate:
        """Read the rows that follow a FLEET message."""
        endpoints: list[Endpoint] = []
        while len(endpoints) < count:
            name, *parts = next(self._source, "").rstrip("\n").split("\t")
            if name != "WORKER":
                raise WireError(f"FLEET: field rows: {count} told, {len(endpoints)} came")
            endpoints.append(endpoint_from(read_fields(name, parts)))
        return update_from(mode, endpoints)

    def _start(self, instance: int, seed: int, info: str) -> None:
        try:
            value = json.loads(info)
        except ValueError as error:
            raise WireError("CONFIGURE: field info: no JSON") from error
        try:
            self._controllers[instance] = Controller(settings_from(value), seed)
        except SettingsError as error:
            raise WireError(f"CONFIGURE: field {error}") from error

    def _answer(self, batch: Batch) -> None:
        """Let each instance of a batch take its turn, and write all replies."""
        lines: list[str] = []
        for instance, happened in batch.events.items():
            lines += self._turn(instance, batch.now_ms, happened)
        self._sink.write("".join(f"{line}\n" for line in lines) + "FINISHED\n")
        self._sink.flush()

    def _turn(self, instance: int, now_ms: float, happened: list[Event]) -> list[str]:
        controller = self._controllers.get(instance)
        if controller is None:
            raise WireError(f"SWITCH_TO: field gatekeeper: {instance} was not configured")
        try:
            actions = controller.handle(now_ms, happened)
        except Exception as error:  # the simulator is owed a report, whatever was raised
            raise ControllerError(instance, error) from error
        for kept_error in controller.errors:
            raise ControllerError(instance, kept_error) from kept_error
        return [f"FROM\t{instance}", *map(line_for, actions)] if actions else []

    def _skip(self, name: str) -> None:
        """Report an unknown message once; raise WireError for one that is out of place."""
        if is_known(name):
            raise WireError(f"{name}: out of place")
        if name not in self._reported:
            self._reported.add(name)
            print(f"simulator: message {name[:80]!r} is not known and is skipped", file=self._complaints)


def main() -> int:
    """Serve standard input; return the exit code."""
    sys.stdin.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    sys.stdout.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    try:
        Host(iter(sys.stdin.readline, ""), sys.stdout, sys.stderr).run()
    except (WireError, UnicodeDecodeError) as error:
        print(f"simulator: {error}", file=sys.stderr)
        return EXIT_WIRE_ERROR
    except ControllerError as error:
        traceback.print_exception(error.__cause__, file=sys.stderr)
        print(f"{error}\nFINISHED", flush=True)
        return EXIT_CONTROLLER_ERROR
    return EXIT_OK
