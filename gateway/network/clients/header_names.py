"""The names of the header fields that the gateway reads from its clients' requests, in lower case."""

from __future__ import annotations

CALL_TERMS = b"x-call-terms"
CONTENT_LENGTH = b"content-length"
CONTENT_TYPE = b"content-type"
CUSTOMER = b"x-api-key"
DEADLINE_MS = b"x-deadline-ms"
EXPECT = b"expect"
IDEMPOTENCY_KEY = b"idempotency-key"
PLAN = b"x-tier"
REQUEST_ID = b"x-request-id"
RETRY = b"x-retry"
TRANSFER_ENCODING = b"transfer-encoding"

# All of them. Other fields are ignored; a request that has one of these twice is rejected.
RECOGNIZED = frozenset(
    {
        CALL_TERMS,
        CONTENT_LENGTH,
        CONTENT_TYPE,
        CUSTOMER,
        DEADLINE_MS,
        EXPECT,
        IDEMPOTENCY_KEY,
        PLAN,
        REQUEST_ID,
        RETRY,
        TRANSFER_ENCODING,
    }
)
