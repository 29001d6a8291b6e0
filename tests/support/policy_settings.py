"""Settings for tests of the policy."""

from gateway.interface.settings import Idempotency, KeyScope, Plan, RequestClass, Settings

TICK_MS = 4.0  # time between two turns of a controller
DRAIN_GRACE_MS = 250.0  # time for which a gateway may send to an endpoint after learning of its withdrawal
CLOCK_SLACK_MS = 16.0  # time after a deadline up to which an answer counts as in time
DEDUPLICATION_WINDOW_MS = 1200  # time for which endpoints remember an idempotency key


def keyed_class(name, key_scope):
    """Return a class whose requests have idempotency keys with the scope `key_scope`."""
    return RequestClass(
        name,
        900,
        2500,
        4,
        Idempotency.WITH_KEY,
        key_scope=key_scope,
        deduplication_window_ms=DEDUPLICATION_WINDOW_MS,
    )


CLASSES = (
    RequestClass("look", 600, 1500, 2, Idempotency.IDEMPOTENT),
    keyed_class("book", KeyScope.CELL),
    keyed_class("hold", KeyScope.ZONE),
    keyed_class("seat", KeyScope.ALL),
    RequestClass("debit", 900, 2500, 3, Idempotency.NON_IDEMPOTENT),
    RequestClass("feed", 900, 2500, 1, Idempotency.IDEMPOTENT, streamed=True),
)
PLANS = (
    Plan("rated", 4, 12, 0, 1.0, 0.3, 0.1),
    Plan("capped", 8, 16, 0, 1.5, 0.5, 0.1, ceiling_per_s=16, ceiling_burst=32, ceiling_slack=4),
    Plan("open", max_in_flight=4, weight_factor=1.2, overage_cost=1.0),
)


def settings(gateway_number=0, gateways=3, **changes):
    """Return settings with these changes.

    By default, the classes cover each idempotency and each key scope, and the plans cover quotas on the rate
    with and without a ceiling, and a quota on the requests in flight.
    """
    values = dict(
        gateways=gateways,
        gateway_number=gateway_number,
        zone="z0",
        tick_ms=TICK_MS,
        classes=CLASSES,
        plans=PLANS,
        slow_start_ms=8000,
        slow_start_floor=0.25,
        overload_multiple=3,
        overload_window_ms=1500,
        max_attempts=4,
        max_units=4,
        may_gossip=True,
        may_hedge=True,
        post_paid=True,
        max_retry_after_ms=1000,
        gossip_inbox_per_s=60,
        load_report_method="answers",
        report_fields=("util", "inflight"),
    )
    values.update(changes)
    return Settings(**values)
