"""Checks that a received request has the form that the protocol and the settings require.

A request that fails a check is rejected with an error response, and the controller is not notified of it.
"""

from __future__ import annotations

import functools
import math
import re
from collections.abc import Mapping
from http import HTTPStatus
from typing import NamedTuple

from gateway.errors import BadRequestError
from gateway.interface.settings import Idempotency, RequestClass, Settings
from gateway.network.clients import header_names

# Customers; their numbers are below.
CUSTOMER_LIMIT = 1 << 33

# Digits of an integer in a header, at most.
MAX_INTEGER_DIGITS = 15

# Bytes of a malformed value that an error text quotes, at most.
MAX_QUOTED_BYTES = 20

# Distinct values of X-Call-Terms whose parsed form is cached.
CALL_TERMS_CACHE_SIZE = 512

_DECIMAL = re.compile(rb"\d{1,9}(?:\.\d{1,9})?")
_REQUEST_ID = re.compile(rb"[0-9A-Za-z._~-]{1,64}")
_CUSTOMER = re.compile(rb"[0-9A-Fa-f]{16}")
_IDEMPOTENCY_KEY = re.compile(rb"[!-~]{1,128}")
_REQUIRED_TERMS = frozenset({b"units", b"spread", b"first"})


class CallTerms(NamedTuple):
    """The content of X-Call-Terms."""

    units: float  # taken from the customer's quota
    spread: int  # number of gateways that serve the customer
    first: int  # number of the first of these gateways


class ValidatedRequest(NamedTuple):
    """The typed fields of a request that has passed all checks."""

    id: bytes
    customer: str
    request_class: RequestClass
    plan: str
    wait_ms: float  # how long the client waits, at most the deadline of its class
    units: float
    spread: int
    first: int
    is_client_retry: bool
    key: bytes | None  # the idempotency key


class RequestValidator:
    """Checks requests against the settings."""

    def __init__(self, settings: Settings) -> None:
        """Index the classes and plans of the settings by name."""
        self._classes = {kind.name.encode(): kind for kind in settings.classes}
        self._plans = {plan.name.encode(): plan.name for plan in settings.plans}
        # The terms of a customer are the same in each of its requests. An error is not cached.
        self._call_terms = functools.lru_cache(CALL_TERMS_CACHE_SIZE)(
            functools.partial(parse_call_terms, gateways=settings.gateways, max_units=settings.max_units)
        )

    def validate(
        self, method: bytes, target: bytes, headers: Mapping[bytes, bytes], has_body: bool
    ) -> ValidatedRequest:
        """Return the typed fields of a request whose headers are recognized ones, with lower-case names.

        Raises:
            BadRequestError: A check fails; the error has the status code of the response.
        """
        request_class = self._class_of(target)
        _check_method(request_class, method, has_body)
        idempotency_key = _idempotency_key(request_class, headers)
        request_id = _request_id(headers)
        customer = _customer(headers)
        plan = self._plan(headers)
        wait_ms = parse_integer(required_header(headers, header_names.DEADLINE_MS), 1)
        terms = self._call_terms(required_header(headers, header_names.CALL_TERMS))
        return ValidatedRequest(
            id=request_id,
            customer=customer,
            request_class=request_class,
            plan=plan,
            wait_ms=min(wait_ms, request_class.deadline_ms),
            units=terms.units,
            spread=terms.spread,
            first=terms.first,
            is_client_retry=headers.get(header_names.RETRY) == b"1",
            key=idempotency_key,
        )

    def _class_of(self, target: bytes) -> RequestClass:
        """Return the class that the first segment of the target's path names."""
        if not target.startswith(b"/"):
            raise BadRequestError("the target is not a path")
        path = target[1:].partition(b"?")[0]
        request_class = self._classes.get(path.partition(b"/")[0])
        if request_class is None:
            raise BadRequestError("there is no such class", HTTPStatus.NOT_FOUND)
        return request_class

    def _plan(self, headers: Mapping[bytes, bytes]) -> str:
        plan = self._plans.get(required_header(headers, header_names.PLAN))
        if plan is None:
            raise BadRequestError("there is no such plan")
        return plan


def _check_method(request_class: RequestClass, method: bytes, has_body: bool) -> None:
    expected = b"GET" if request_class.idempotency is Idempotency.IDEMPOTENT else b"POST"
    if method != expected:
        raise BadRequestError("the class has another method", HTTPStatus.METHOD_NOT_ALLOWED)
    if has_body and method == b"GET":
        raise BadRequestError("a GET request has a body")


def _idempotency_key(request_class: RequestClass, headers: Mapping[bytes, bytes]) -> bytes | None:
    """Return the idempotency key, which requests of a keyed class must have and others must not."""
    key = headers.get(header_names.IDEMPOTENCY_KEY)
    if request_class.idempotency is Idempotency.WITH_KEY:
        if key is None or not _IDEMPOTENCY_KEY.fullmatch(key):
            raise BadRequestError("idempotency-key is missing or malformed")
    elif key is not None:
        raise BadRequestError("idempotency-key on a class without keys")
    return key


def _request_id(headers: Mapping[bytes, bytes]) -> bytes:
    request_id = required_header(headers, header_names.REQUEST_ID)
    if not _REQUEST_ID.fullmatch(request_id):
        raise BadRequestError("x-request-id is malformed")
    return request_id


def _customer(headers: Mapping[bytes, bytes]) -> str:
    customer = required_header(headers, header_names.CUSTOMER)
    if not _CUSTOMER.fullmatch(customer) or int(customer, 16) >= CUSTOMER_LIMIT:
        raise BadRequestError("x-api-key names no customer")
    return customer.decode()


def parse_call_terms(text: bytes, *, gateways: int, max_units: float) -> CallTerms:
    """Return the content of X-Call-Terms.

    Args:
        text: The value of the header.
        gateways: The number of gateways in the tier.
        max_units: The largest number of units that a request may take.

    Raises:
        BadRequestError: A term is missing, repeated, malformed or out of range.
    """
    terms: dict[bytes, bytes] = {}
    for term in text.split(b","):
        name, _, value = term.strip().partition(b"=")
        if name in terms:
            raise BadRequestError("x-call-terms repeats a term")
        terms[name] = value
    if not terms.keys() >= _REQUIRED_TERMS:
        raise BadRequestError("x-call-terms lacks a term")
    if not _DECIMAL.fullmatch(terms[b"units"]):
        raise BadRequestError("units are malformed")
    units = float(terms[b"units"])
    if not 0 < units <= max_units:
        raise BadRequestError("units are out of range")
    spread = parse_integer(terms[b"spread"], 1, gateways)
    first = parse_integer(terms[b"first"], 0, gateways - 1)
    return CallTerms(units, spread, first)


def parse_integer(text: bytes, minimum: int, maximum: float = math.inf) -> int:
    """Return an integer written in plain decimal digits.

    Raises:
        BadRequestError: The text has another form, or the number is out of bounds.
    """
    if not text.isdigit() or len(text) > MAX_INTEGER_DIGITS or not minimum <= int(text) <= maximum:
        raise BadRequestError(f"{text[:MAX_QUOTED_BYTES]!r} is not an integer in range")
    return int(text)


def required_header(headers: Mapping[bytes, bytes], name: bytes) -> bytes:
    """Return the value of a header field.

    Raises:
        BadRequestError: The field is missing or empty.
    """
    value = headers.get(name)
    if not value:
        raise BadRequestError(f"{name.decode()} is missing")
    return value
