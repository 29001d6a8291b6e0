"""The metrics of a gateway in the Prometheus text format.

The names, labels and help texts of the metrics are used by operators and must not change.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import Enum

from gateway.interface.events import AttemptResult

# Prefix of the names of all metrics.
NAME_PREFIX = "edge_balancer"

# Content type of the Prometheus text format.
CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


class FinalStatus(Enum):
    """The way in which a request ended; the values are written as the label `status`."""

    FULFILLED = "fulfilled"
    THROTTLED = "throttled"
    FAULTED = "faulted"


class EndReason(Enum):
    """Why a request ended; the values are written as the label `reason`."""

    SERVED = "served"
    REJECTED = "rejected"  # by the policy; a retry is harmless
    FAILED = "failed"  # by the policy
    GUARD_EXPIRED = "guard_expired"  # the policy gave no final answer before the deadline
    RESPONSE_CUT_OFF = "response_cut_off"  # its response could not be forwarded to its end
    CLIENT_LEFT = "client_left"
    DUPLICATE_ID = "duplicate_id"  # the successor of this process knows its id
    NO_MEMORY = "no_memory"  # rejected before it was opened


class CloseReason(Enum):
    """Why the gateway closed a client connection; the values are written as the label `reason`."""

    REFUSED = "refused"  # a new connection beyond the limit, of which nothing was read
    EVICTED = "evicted"  # to free a descriptor for a new connection
    UNUSED_UNDER_OVERLOAD = "unused_under_overload"
    IDLE = "idle"
    INPUT_TIMEOUT = "input_timeout"  # its request was not received in time
    NO_MEMORY = "no_memory"  # no memory was left for the rest of its request
    LINGER_TIMEOUT = "linger_timeout"  # its client did not close it after the last response
    STALLED_READER = "stalled_reader"  # its client did not read a response in time while memory was scarce


class Metrics:
    """The counters of a process, which start at 0; the values of the gauges are passed to `text`."""

    def __init__(self, class_names: Iterable[str]) -> None:
        """Create the counters for requests of the classes `class_names`."""
        # Number of requests that have received their final response, by class and final status.
        self.operations = {(name, status): 0 for name in class_names for status in FinalStatus}
        self.forwarded_attempts = 0  # number of attempts written completely to an endpoint
        self.ends = dict.fromkeys(EndReason, 0)
        self.closes = dict.fromkeys(CloseReason, 0)
        self.unread_closes = dict.fromkeys(CloseReason, 0)  # those that discarded output
        self.attempt_results = dict.fromkeys(AttemptResult, 0)

    def on_final_response(self, class_name: str, status: FinalStatus) -> None:
        """Count a request of the class that has received its final response."""
        self.operations[class_name, status] += 1

    def text(self, *, open_requests: int, registry_entries: int, out_of_rotation: int) -> bytes:
        """Return the main metrics in the text format; the arguments are the current values of the gauges."""
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

    def diagnostics_text(self, held: Mapping[str, int]) -> bytes:
        """Return the metrics for the analysis of faults in the text format.

        Args:
            held: What the process holds at present, by the value of the label `what`.
        """
        lines = [
            *_family_lines(
                "ends_total",
                "counter",
                "Requests ended, by reason.",
                "reason",
                {reason.value: count for reason, count in self.ends.items()},
            ),
            *_family_lines(
                "closes_total",
                "counter",
                "Client connections that the gateway closed, by reason.",
                "reason",
                {reason.value: count for reason, count in self.closes.items()},
            ),
            *_family_lines(
                "closes_unread_total",
                "counter",
                "Client connections that the gateway closed with unread output, by reason.",
                "reason",
                {reason.value: count for reason, count in self.unread_closes.items()},
            ),
            *_family_lines(
                "attempts_ended_total",
                "counter",
                "Attempts ended, by result.",
                "result",
                {result.value: count for result, count in self.attempt_results.items()},
            ),
            *_family_lines("held", "gauge", "What the process holds now.", "what", held),
            "",
        ]
        return "\n".join(lines).encode()


def escape_label_value(value: str) -> str:
    """Return the value of a label, escaped for the text format."""
    return value.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")


def _family_lines(
    suffix: str, metric_type: str, help_text: str, label: str, values: Mapping[str, int]
) -> list[str]:
    """Return the lines of a metric with one label, whose values are the keys of `values`."""
    name = f"{NAME_PREFIX}_{suffix}"
    return [
        f"# HELP {name} {help_text}",
        f"# TYPE {name} {metric_type}",
        *(f'{name}{{{label}="{escape_label_value(key)}"}} {value}' for key, value in values.items()),
    ]


def _metric_lines(suffix: str, metric_type: str, help_text: str, value: int) -> list[str]:
    name = f"{NAME_PREFIX}_{suffix}"
    return [f"# HELP {name} {help_text}", f"# TYPE {name} {metric_type}", f"{name} {value}"]
