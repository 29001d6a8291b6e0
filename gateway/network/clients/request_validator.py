"""Validates received requests against the protocol and the settings.

A request that fails a check is answered with an error status; the controller receives no event for it.
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

# The customer numbers in X-Api-Key are less than this number.
CUSTOMER_NUMBER_LIMIT = 1 << 33

# Maximum number of digits of an integer in a header field.
MAX_INTEGER_DIGITS = 15

# Maximum number of bytes of a malformed value that an error text quotes.
MAX_QUOTED_BYTES = 20

# Number of distinct values of X-Call-Terms whose parsed form is cached.
CALL_TERMS_CACHE_SIZE = 512

_DECIMAL_PATTERN = re.compile(rb"\d{1,9}(?:\.\d{1,9})?")
_REQUEST_ID_PATTERN = re.compile(rb"[0-9A-Za-z._~-]{1,64}")
_CUSTOMER_PATTERN = re.compile(rb"[0-9A-Fa-f]{16}")
_IDEMPOTENCY_KEY_PATTERN = re.compile(rb"[!-~]{1,128}")
_REQUIRED_TERMS = frozenset({b"units", b"spread", b"first"})


class CallTerms(NamedTuple):
    """The parsed value of X-Call-Terms."""

    units: float  # units that the request takes from the customer's quota
    spread: int  # number of gateways that serve the customer
    first_gateway: int  # number of the first gateway that serves the customer


class ValidatedRequest(NamedTuple):
    """The typed header fields of a request that has passed all checks."""

    id: bytes
    customer: str
    request_class: RequestClass
    plan: str
    wait_ms: float  # time in ms that the client waits for the response, at most the deadline of the class
    units: float
    spread: int
    first_gateway: int
    is_client_retry: bool
    idempotency_key: bytes | None


class RequestValidator:
    """Validates the method, target and header fields of requests."""

    def __init__(self, settings: Settings) -> None:
        """Accept the classes and plans of `settings`, and check numbers against its limits."""
        self._classes = {request_class.name.encode(): request_class for request_class in settings.classes}
        self._plans = {plan.name.encode(): plan.name for plan in settings.plans}
        # The parsed terms are cached, because all requests of a customer have equal terms. Malformed terms
        # raise an error and are not cached.
        self._call_terms = functools.lru_cache(CALL_TERMS_CACHE_SIZE)(
            functools.partial(parse_call_terms, gateways=settings.gateways, max_units=settings.max_units)
        )

    def validate(
        self, method: bytes, target: bytes, headers: Mapping[bytes, bytes], has_body: bool
    ) -> ValidatedRequest:
        """Return the typed header fields of a request.

        Args:
            method: The request method.
            target: The request target.
            headers: The recognized header fields by lower-case name.
            has_body: Whether the request has a body that is not empty.

        Raises:
            BadRequestError: A check fails; the error has the status of the response.
        """
        request_class = self._parse_class(target)
        _check_method(request_class, method, has_body)
        idempotency_key = _parse_idempotency_key(request_class, headers)
        request_id = _parse_request_id(headers)
        customer = _parse_customer(headers)
        plan = self._parse_plan(headers)
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
            first_gateway=terms.first_gateway,
            is_client_retry=headers.get(header_names.RETRY) == b"1",
            idempotency_key=idempotency_key,
        )

    def _parse_class(self, target: bytes) -> RequestClass:
        """Return the class whose name is the first segment of the target's path."""
        if not target.startswith(b"/"):
            raise BadRequestError(f"the target {target[:MAX_QUOTED_BYTES]!r} does not begin with '/'")
        path = target[1:].partition(b"?")[0]
        request_class = self._classes.get(path.partition(b"/")[0])
        if request_class is None:
            raise BadRequestError(
                f"the path {path[:MAX_QUOTED_BYTES]!r} does not begin with the name of a class",
                HTTPStatus.NOT_FOUND,
            )
        return request_class

    def _parse_plan(self, headers: Mapping[bytes, bytes]) -> str:
        plan = self._plans.get(required_header(headers, header_names.PLAN))
        if plan is None:
            raise BadRequestError(
                f"x-tier {headers[header_names.PLAN][:MAX_QUOTED_BYTES]!r} is not the name of a plan"
            )
        return plan


def _check_method(request_class: RequestClass, method: bytes, has_body: bool) -> None:
    expected = b"GET" if request_class.idempotency is Idempotency.IDEMPOTENT else b"POST"
    if method != expected:
        received = method[:MAX_QUOTED_BYTES]
        text = f"class {request_class.name!r} requires method {expected!r}, received {received!r}"
        raise BadRequestError(text, HTTPStatus.METHOD_NOT_ALLOWED)
    if has_body and method == b"GET":
        raise BadRequestError("a GET request must not have a body")


def _parse_idempotency_key(request_class: RequestClass, headers: Mapping[bytes, bytes]) -> bytes | None:
    """Return the idempotency key, or None if the class does not accept one.

    Raises BadRequestError if a required key is missing or malformed, or if a key is not accepted.
    """
    key = headers.get(header_names.IDEMPOTENCY_KEY)
    if request_class.idempotency is Idempotency.WITH_KEY:
        if key is None or not _IDEMPOTENCY_KEY_PATTERN.fullmatch(key):
            received = "none" if key is None else repr(key[:MAX_QUOTED_BYTES])
            raise BadRequestError(
                f"class {request_class.name!r} requires an idempotency-key of 1 to 128 visible characters,"
                f" received {received}"
            )
    elif key is not None:
        raise BadRequestError(f"class {request_class.name!r} does not accept an idempotency-key")
    return key


def _parse_request_id(headers: Mapping[bytes, bytes]) -> bytes:
    request_id = required_header(headers, header_names.REQUEST_ID)
    if not _REQUEST_ID_PATTERN.fullmatch(request_id):
        raise BadRequestError(
            f"x-request-id {request_id[:MAX_QUOTED_BYTES]!r} is not 1 to 64 characters of 0-9 A-Z a-z . _ ~ -"
        )
    return request_id


def _parse_customer(headers: Mapping[bytes, bytes]) -> str:
    customer = required_header(headers, header_names.CUSTOMER)
    if not _CUSTOMER_PATTERN.fullmatch(customer) or int(customer, 16) >= CUSTOMER_NUMBER_LIMIT:
        raise BadRequestError(
            f"x-api-key is not a number of 16 hexadecimal digits below {CUSTOMER_NUMBER_LIMIT:#x}"
        )
    return customer.decode()


def parse_call_terms(text: bytes, *, gateways: int, max_units: float) -> CallTerms:
    """Parse the value of X-Call-Terms, and ignore terms with unknown names.

    Args:
        text: The value of the header field.
        gateways: The number of gateways in the settings.
        max_units: The largest number of units that one request may take.

    Raises:
        BadRequestError: A required term is missing, malformed or out of range, or a term is repeated.
    """
    terms: dict[bytes, bytes] = {}
    for term in text.split(b","):
        name, _, value = term.strip().partition(b"=")
        if name in terms:
            raise BadRequestError(f"x-call-terms repeats the term {name[:MAX_QUOTED_BYTES]!r}")
        terms[name] = value
    if not terms.keys() >= _REQUIRED_TERMS:
        missing = b", ".join(sorted(_REQUIRED_TERMS - terms.keys())).decode()
        raise BadRequestError(f"x-call-terms lacks the terms: {missing}")
    if not _DECIMAL_PATTERN.fullmatch(terms[b"units"]):
        raise BadRequestError(
            f"units in x-call-terms is not a decimal number: {terms[b'units'][:MAX_QUOTED_BYTES]!r}"
        )
    units = float(terms[b"units"])
    if not 0 < units <= max_units:
        raise BadRequestError(f"units in x-call-terms is {units}, expected above 0 and at most {max_units}")
    spread = parse_integer(terms[b"spread"], 1, gateways)
    first_gateway = parse_integer(terms[b"first"], 0, gateways - 1)
    return CallTerms(units, spread, first_gateway)


def parse_integer(text: bytes, minimum: int, maximum: float = math.inf) -> int:
    """Parse an integer of at most MAX_INTEGER_DIGITS decimal digits, without a sign.

    Raises:
        BadRequestError: The text is not such an integer, or the integer is not from `minimum` to `maximum`.
    """
    if not text.isdigit() or len(text) > MAX_INTEGER_DIGITS or not minimum <= int(text) <= maximum:
        raise BadRequestError(f"{text[:MAX_QUOTED_BYTES]!r} is not an integer from {minimum} to {maximum}")
    return int(text)


def required_header(headers: Mapping[bytes, bytes], name: bytes) -> bytes:
    """Return the value of a header field that must not be empty.

    Args:
        headers: The header fields by lower-case name.
        name: The lower-case name.

    Raises:
        BadRequestError: The field is missing or empty.
    """
    value = headers.get(name)
    if not value:
        raise BadRequestError(f"{name.decode()} is missing or empty")
    return value
