"""Parsing of the load report that an endpoint attaches to a response."""

from __future__ import annotations

import json

MAX_REPORTED_LOAD = 1e6  # largest accepted value of a field, in the field's unit


class LoadReportParser:
    """Extracts the configured fields from load reports."""

    def __init__(self, fields: tuple[str, ...]) -> None:
        """Expect these fields in each report; without fields every report is ignored."""
        self._fields = fields

    def parse(self, text: bytes) -> tuple[float, ...]:
        """Return the fields' values in the configured order, or () if one is missing or out of range."""
        if not text or not self._fields:
            return ()
        try:
            report = json.loads(text)
            values = tuple(float(report[field]) for field in self._fields)
        except (ValueError, TypeError, KeyError, OverflowError, RecursionError):
            return ()
        # NaN is in no range.
        return values if all(0 <= value <= MAX_REPORTED_LOAD for value in values) else ()
