"""The metrics of a gateway in Prometheus' text format; their names and texts are the operators'."""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum

# Prefix of all names.
PREFIX = "edge_balancer"

# Content type of the text format.
CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


class FinalStatus(Enum):
    """How a request ended; the values are labels of a metric."""

    FULFILLED = "fulfilled"
    THROTTLED = "throttled"
    FAULTED = "faulted"


class Metrics:
    """The counters, which begin at 0 with the process; gauges are passed in when the text is made."""

    def __init__(self, class_names: Iterable[str]) -> None:
        """Count the requests of these classes."""
        self.operations = {(name, status): 0 for name in class_names for status in FinalStatus}
        self.forwarded_attempts = 0  # attempts written completely to endpoints

    def on_final_answer(self, class_name: str, status: FinalStatus) -> None:
        """Count a request that has had its final answer."""
        self.operations[class_name, status] += 1

    def text(self, *, open_requests: int, registry_entries: int, out_of_rotation: int) -> bytes:
        """Return all metrics, with these values of the gauges."""
        name = f"{PREFIX}_operations_total"
        lines = [
            f"# HELP {name} Requests answered: served, refused or failed.",
            f"# TYPE {name} counter",
            *(
                f'{name}{{priority="{escape(class_name)}",status="{status.value}"}} {count}'
                for (class_name, status), count in self.operations.items()
            ),
            *_single(
                "relayed_total", "counter", "Attempts written whole to workers.", self.forwarded_attempts
            ),
            *_single("open_requests", "gauge", "Requests taken and not ended.", open_requests),
            *_single("registry_entries", "gauge", "Workers in discovery's list.", registry_entries),
            *_single("out_of_rotation", "gauge", "Listed workers that get nothing now.", out_of_rotation),
            "",
        ]
        return "\n".join(lines).encode()


def escape(label: str) -> str:
    """Return a label's value, escaped for the text format."""
    return label.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")


def _single(suffix: str, kind: str, help_text: str, value: int) -> list[str]:
    name = f"{PREFIX}_{suffix}"
    return [f"# HELP {name} {help_text}", f"# TYPE {name} {kind}", f"{name} {value}"]
