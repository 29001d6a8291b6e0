"""The delays between calls of discovery after failures, and the timeout of a watch."""

from __future__ import annotations

import random

# Maximum time in seconds from the moment when discovery has a change of the endpoint list and is reachable,
# to the moment when the gateway knows the change. It limits the sum of three times: the part of a failed call
# for which discovery may have been reachable, the delay after this call, and the duration of the next call.
MAX_LIST_STALENESS_S = 5.7
CALL_TIMEOUT_S = 2.2  # timeout in seconds of a call that does not wait for a change
# Milliseconds for which a watch waits for a change, in a fleet of at most SMALL_FLEET_SIZE gateways.
WATCH_TIMEOUT_MS = 5000
SMALL_FLEET_SIZE = 5  # number of gateways up to which a fleet neither extends watches nor spreads retries
MAX_WATCH_TIMEOUT_FACTOR = 8.0  # maximum factor by which a larger fleet extends WATCH_TIMEOUT_MS
# Backoff in seconds after the first failed call, before jitter. It doubles with each further failed call.
INITIAL_BACKOFF_S = 0.02
MAX_BACKOFF_S = 0.5  # maximum backoff in seconds, before jitter
# Maximum number of times that the backoff and the spread interval double; both reach their maximum earlier.
MAX_DOUBLINGS = 10
MIN_BACKOFF_JITTER = 0.5  # smallest random factor that is applied to the backoff
MAX_BACKOFF_JITTER = 1.5  # largest random factor that is applied to the backoff
# The retries of a fleet are spread over an interval of this many seconds per gateway beyond SMALL_FLEET_SIZE.
SPREAD_PER_GATEWAY_S = 0.8
# Until the first successful call, the spread interval has this many seconds per gateway beyond
# SMALL_FLEET_SIZE. The value doubles with each failed call, up to SPREAD_PER_GATEWAY_S. It starts below that
# value because the configured endpoint list, which the gateway uses until then, may be outdated.
INITIAL_SPREAD_PER_GATEWAY_S = 0.25
# Fraction of the spread interval that elapses before a retry, except for the first retry after a successful
# call.
MIN_RETRY_JITTER = 0.8


class DiscoveryBackoff:
    """Exponential backoff with jitter, with retries spread over the gateways of the fleet.

    A shared discovery service processes one call at a time and rejects calls that have waited too long. A
    rejection costs the service as much as a response. If a fleet makes calls faster than the service
    responds, all calls fail until the rate drops. For this reason gateways spread their retries. An agent on
    the machine of the gateway has no other caller: longer delays would only make the endpoint list older.

    The first retry after a success is made at a random time in the spread interval. Later retries are made
    near the end of the interval, which keeps the gateways apart with the fewest calls.
    """

    def __init__(
        self,
        fleet_size: int,
        rng: random.Random,
        *,
        is_only_caller: bool = False,
        max_backoff_s: float = MAX_BACKOFF_S,
    ) -> None:
        """Create the backoff of one gateway in a fleet of `fleet_size` gateways.

        If `is_only_caller` is set, retries are not spread until discovery reports an overload.
        `max_backoff_s` is the maximum backoff in seconds, before jitter.
        """
        self._fleet_size = fleet_size
        self._rng = rng
        self._max_backoff_s = max_backoff_s
        self._caller_count = 1 if is_only_caller else fleet_size
        self._failures = 0  # number of failed calls since the last successful call
        self._spread_per_gateway_s = INITIAL_SPREAD_PER_GATEWAY_S

    def on_success(self) -> None:
        """Reset the backoff after a successful call."""
        self._failures = 0
        self._spread_per_gateway_s = SPREAD_PER_GATEWAY_S

    def on_overload(self) -> None:
        """Spread retries over the fleet from now on: discovery has too many callers, so it is shared."""
        self._caller_count = self._fleet_size

    def watch_timeout_ms(self) -> int:
        """Return the time in milliseconds for which a watch waits for a change."""
        factor = max(1.0, self._caller_count / SMALL_FLEET_SIZE)
        return int(WATCH_TIMEOUT_MS * min(MAX_WATCH_TIMEOUT_FACTOR, factor))

    def next_delay_s(self, reachable_s: float = 0.0) -> float:
        """Record a failed call and return the delay in seconds before the next call.

        `reachable_s` is the part of the failed call's duration, in seconds, for which discovery may have been
        reachable. It shortens the maximum delay, see MAX_LIST_STALENESS_S.
        """
        is_first = not self._failures
        growth = 2.0 ** min(self._failures, MAX_DOUBLINGS)
        self._failures += 1
        max_delay_s = max(INITIAL_BACKOFF_S, MAX_LIST_STALENESS_S - CALL_TIMEOUT_S - reachable_s)
        backoff_s = self._jittered_backoff_s(growth)
        spread_s = min(max_delay_s, self._fleet_spread_s(growth))
        jitter = self._rng.uniform(0.0 if is_first else MIN_RETRY_JITTER, 1.0)
        return min(max_delay_s, backoff_s + spread_s * jitter)

    def _jittered_backoff_s(self, growth: float) -> float:
        backoff_s = min(self._max_backoff_s, INITIAL_BACKOFF_S * growth)
        return backoff_s * self._rng.uniform(MIN_BACKOFF_JITTER, MAX_BACKOFF_JITTER)

    def _fleet_spread_s(self, growth: float) -> float:
        per_gateway_s = min(SPREAD_PER_GATEWAY_S, self._spread_per_gateway_s * growth)
        return per_gateway_s * max(0, self._caller_count - SMALL_FLEET_SIZE)
