"""The names, in lower case, of the header fields that the gateway reads from the requests of clients."""

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

# All names above. A request that repeats one of these fields is rejected; fields of other names are ignored.
RECOGNIZED_HEADERS = frozenset(
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
