"""Tests of the load report parser."""

import json
import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gateway.network.upstream.load_report import MAX_REPORTED_LOAD, LoadReportParser

FIELDS = ("util", "latency_ms")


@pytest.mark.parametrize(
    ("text", "values"),
    [
        (b'{"util":0.5,"latency_ms":7}', (0.5, 7.0)),
        (b'{"latency_ms":7,"util":0.5,"queue":2}', (0.5, 7.0)),
        (b' {"util" : 0, "latency_ms" : 1000000 } ', (0.0, MAX_REPORTED_LOAD)),
        (b'{"util":"0.5","latency_ms":"7"}', (0.5, 7.0)),
        (b'{"util":true,"latency_ms":1}', (1.0, 1.0)),
    ],
)
def test_fields_are_returned_in_the_configured_order(text, values):
    assert LoadReportParser(FIELDS).parse(text) == values


@pytest.mark.parametrize(
    "text",
    [
        b"",
        b"no json",
        b"\xff",
        b"3",
        b"null",
        b"[1,2]",
        b"[" * 100_000,
        b"{}",
        b'{"util":0.5}',
        b'{"util":0.5,"latency_ms":null}',
        b'{"util":0.5,"latency_ms":[1]}',
        b'{"util":"x","latency_ms":1}',
        b'{"util":-0.001,"latency_ms":1}',
        b'{"util":0.5,"latency_ms":1000001}',
        b'{"util":NaN,"latency_ms":1}',
        b'{"util":Infinity,"latency_ms":1}',
        b'{"util":1e999,"latency_ms":1}',
        b'{"util":1' + b"0" * 400 + b',"latency_ms":1}',
        b'{"util":1' + b"0" * 5000 + b',"latency_ms":1}',
    ],
)
def test_malformed_report_has_no_values(text):
    assert LoadReportParser(FIELDS).parse(text) == ()


def test_report_is_ignored_if_no_fields_are_configured():
    assert LoadReportParser(()).parse(b'{"util":0.5}') == ()


@settings(max_examples=200, deadline=None)
@given(st.binary())
def test_any_bytes_are_parsed_without_an_error(text):
    assert len(LoadReportParser(FIELDS).parse(text)) in (0, len(FIELDS))


@settings(max_examples=200, deadline=None)
@given(st.floats(), st.floats())
def test_report_is_accepted_exactly_when_every_value_is_in_range(util, latency_ms):
    values = (util, latency_ms)
    is_valid = all(math.isfinite(value) and 0 <= value <= MAX_REPORTED_LOAD for value in values)
    text = json.dumps(dict(zip(FIELDS, values, strict=True))).encode()
    assert LoadReportParser(FIELDS).parse(text) == (values if is_valid else ())
