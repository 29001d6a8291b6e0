"""The metrics of a gateway in the Prometheus text format.

The names, labels and help texts of the metrics are used by operators and must not change.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum

# Prefix of the names of all metrics.
NAME_PREFIX = "edge_balancer"

# Content type of the Prometheus text format.
CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


class FinalStatus(Enum):
    """The way in which a request ended; the values are written as the label `status`."""

    FULFILLED = "fulfilled"
    THROTTLED = "throttled"
    FAULTED = "faulted"


class Metrics:
    """The counters of a process, which start at 0; the values of the gauges are passed to `text`."""

    def __init__(self, class_names: Iterable[str]) -> None:
        """Create the counters for requests of the classes `class_names`."""
        # Number of requests that have received their final response, by class and final status.
        self.operations = {(name, status): 0 for name in class_names for status in FinalStatus}
        self.forwarded_attempts = 0  # number of attempts written completely to an endpoint

    def on_final_response(self, class_name: str, status: FinalStatus) -> None:
        """Count a request of the class that has received its final response."""
        self.operations[class_name, status] += 1

    def text(self, *, open_requests: int, registry_entries: int, out_of_rotation: int) -> bytes:
        """Return all metrics in the text format; the arguments are the current values of the gauges."""
        name = f"{NAME_PREFIX}_operations_total"
        lines = [
            f"# HELP {name} Requests answered: served, refused or failed.",
            f"# TYPE {name} counter",
            *(
                f'{name}{{priority="{escape_label_value(class_name)}",status="{status.value}"}} {count}'
                for (class_name, status), count in self.operations.items()
            ),
            *_metric_lines(
                "relayed_total", "counter", "Attempts written whole to workers.", self.forwarded_attempts
            ),
            *_metric_lines("open_requests", "gauge", "Requests taken and not ended.", open_requests),
            *_metric_lines("registry_entries", "gauge", "Workers in discovery's list.", registry_entries),
            *_metric_lines(
                "out_of_rotation", "gauge", "Listed workers that get nothing now.", out_of_rotation
            ),
            "",
        ]
        return "\n".join(lines).encode()


def escape_label_value(value: str) -> str:
    """Return the value of a label, escaped for the text format."""
    return value.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")


def _metric_lines(suffix: str, metric_type: str, help_text: str, value: int) -> list[str]:
    name = f"{NAME_PREFIX}_{suffix}"
    return [f"# HELP {name} {help_text}", f"# TYPE {name} {metric_type}", f"{name} {value}"]
