"""What operators see of a gateway, in Prometheus' text form."""

from __future__ import annotations

from collections.abc import Iterable

PREFIX = "edge_balancer"
FULFILLED, THROTTLED, FAULTED = "fulfilled", "throttled", "faulted"
KIND = b"text/plain; version=0.0.4; charset=utf-8"


class Metrics:
    """The counters. They start at 0 with the process; gauges are read from the live tables when asked for."""

    def __init__(self, classes: Iterable[str]) -> None:
        statuses = (FULFILLED, THROTTLED, FAULTED)
        self.operations = {(name, status): 0 for name in classes for status in statuses}
        self.relayed = 0  # attempts written whole to endpoints

    def ended(self, name: str, status: str) -> None:
        """A request has had its one final answer."""
        self.operations[name, status] += 1

    def text(self, *, open_requests: int, registry_entries: int, out_of_rotation: int) -> bytes:
        """All figures."""
        name = f"{PREFIX}_operations_total"
        lines = [f"# HELP {name} Requests answered: served, refused or failed.", f"# TYPE {name} counter"]
        lines += [
            f'{name}{{priority="{escape(kind)}",status="{status}"}} {count}'
            for (kind, status), count in self.operations.items()
        ]
        for name, sort, told, value in (
            ("relayed_total", "counter", "Attempts written whole to workers.", self.relayed),
            ("open_requests", "gauge", "Requests taken and not ended.", open_requests),
            ("registry_entries", "gauge", "Workers in discovery's list.", registry_entries),
            ("out_of_rotation", "gauge", "Listed workers that get nothing now.", out_of_rotation),
        ):
            name = f"{PREFIX}_{name}"
            lines += [f"# HELP {name} {told}", f"# TYPE {name} {sort}", f"{name} {value}"]
        return "\n".join([*lines, ""]).encode()


def escape(label: str) -> str:
    """A label's value as the text form wants it."""
    return label.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")
