"""Parsing of load reports, which endpoints send in the X-Load field of their responses."""

from __future__ import annotations

import json

# Maximum value of a field of a load report, in the unit of the field. A report with a greater value is
# ignored.
MAX_REPORTED_LOAD = 1e6


class LoadReportParser:
    """A parser that extracts the configured fields from load reports."""

    def __init__(self, fields: tuple[str, ...]) -> None:
        """Create a parser for these fields; if there are none, every load report is ignored."""
        self._fields = fields

    def parse(self, text: bytes) -> tuple[float, ...]:
        """Return the values in the order of the configured fields.

        The result is () if the report is not a JSON object, or if the value of a configured field is missing,
        does not convert to a number or is out of range.
        """
        if not text or not self._fields:
            return ()
        try:
            report = json.loads(text)
            values = tuple(float(report[field]) for field in self._fields)
        except (ValueError, TypeError, KeyError, OverflowError, RecursionError):
            return ()
        # The comparison also rejects NaN.
        return values if all(0 <= value <= MAX_REPORTED_LOAD for value in values) else ()
