"""Tests of the request validator."""

import pytest
from support.configurations import settings

from gateway.errors import BadRequestError
from gateway.interface.settings_reader import settings_from
from gateway.network.clients.request_validator import (
    CallTerms,
    RequestValidator,
    parse_call_terms,
    parse_integer,
)

HEADERS = {
    b"x-request-id": b"id.1",
    b"x-api-key": b"00000000b4d65521",
    b"x-tier": b"basic",
    b"x-deadline-ms": b"10000",
    b"x-call-terms": b"units=1,spread=2,first=1",
}


@pytest.fixture
def validator():
    return RequestValidator(settings_from(settings()))


def test_header_fields_of_a_valid_request_are_parsed(validator):
    headers = HEADERS | {b"idempotency-key": b"k1", b"x-retry": b"1"}
    request = validator.validate(b"POST", b"/book/7?x=1", headers, has_body=True)
    assert (request.id, request.customer, request.plan) == (b"id.1", "00000000b4d65521", "basic")
    assert (request.request_class.name, request.idempotency_key, request.is_client_retry) == (
        "book",
        b"k1",
        True,
    )
    assert (request.wait_ms, request.units, request.spread, request.first_gateway) == (10000, 1, 2, 1)


def test_wait_time_is_at_most_the_deadline_of_the_class(validator):
    request = validator.validate(b"GET", b"/look", HEADERS | {b"x-deadline-ms": b"90000"}, has_body=False)
    assert request.wait_ms == 20000


@pytest.mark.parametrize(
    ("method", "target", "changes", "has_body", "status"),
    [
        (b"GET", b"look", {}, False, 400),
        (b"GET", b"/nothing", {}, False, 404),
        (b"POST", b"/look", {}, False, 405),
        (b"GET", b"/debit", {}, False, 405),
        (b"GET", b"/look", {}, True, 400),
        (b"POST", b"/book", {}, True, 400),
        (b"POST", b"/book", {b"idempotency-key": b"a b"}, True, 400),
        (b"POST", b"/debit", {b"idempotency-key": b"k"}, True, 400),
        (b"GET", b"/look", {b"x-request-id": b""}, False, 400),
        (b"GET", b"/look", {b"x-request-id": b"x" * 65}, False, 400),
        (b"GET", b"/look", {b"x-api-key": b"0000000200000000"}, False, 400),
        (b"GET", b"/look", {b"x-tier": b"golden"}, False, 400),
        (b"GET", b"/look", {b"x-deadline-ms": b"0"}, False, 400),
        (b"GET", b"/look", {b"x-call-terms": b"units=1"}, False, 400),
    ],
)
def test_request_that_fails_a_check_raises_an_error_with_the_status(
    method, target, changes, has_body, status, validator
):
    with pytest.raises(BadRequestError) as caught:
        validator.validate(method, target, HEADERS | changes, has_body)
    assert caught.value.status == status


@pytest.mark.parametrize("name", list(HEADERS))
def test_request_without_a_required_header_is_rejected(name, validator):
    headers = {key: value for key, value in HEADERS.items() if key != name}
    with pytest.raises(BadRequestError, match=f"^{name.decode()} is missing or empty$"):
        validator.validate(b"GET", b"/look", headers, has_body=False)


def test_call_terms_in_another_order_and_with_an_unknown_term_are_parsed():
    terms = parse_call_terms(b"first=2, spread=3,units=0.5,other=x", gateways=3, max_units=1.0)
    assert terms == CallTerms(units=0.5, spread=3, first_gateway=2)


@pytest.mark.parametrize(
    "text",
    [
        b"",
        b"units=1,spread=1",
        b"units=1,units=1,spread=1,first=0",
        b"units=0,spread=1,first=0",
        b"units=1.1,spread=1,first=0",
        b"units=1e0,spread=1,first=0",
        b"units=1,spread=0,first=0",
        b"units=1,spread=4,first=0",
        b"units=1,spread=1,first=3",
    ],
)
def test_call_terms_that_are_missing_repeated_or_out_of_range_are_rejected(text):
    with pytest.raises(BadRequestError):
        parse_call_terms(text, gateways=3, max_units=1.0)


@pytest.mark.parametrize("text", [b"", b"-1", b"+1", b"1.0", b" 1", b"1" * 16, b"0", b"11"])
def test_malformed_or_out_of_range_integer_is_rejected(text):
    with pytest.raises(BadRequestError):
        parse_integer(text, 1, 10)


def test_integer_in_range_is_returned():
    assert [parse_integer(text, 1, 10) for text in (b"1", b"010")] == [1, 10]
