"""The delay before the next call of discovery, and the timeout of a watch."""

from __future__ import annotations

import random

# Seconds after which a change has to be known at the latest, counted from when discovery has it and is
# reachable. A failed call, the delay after it and the next call together take no longer.
FRESHNESS_S = 5.7
CALL_TIMEOUT_S = 2.2  # seconds to wait for the response to a call that is no watch
WATCH_TIMEOUT_MS = 5000  # milliseconds for which a watch waits for a change in a small fleet
SMALL_FLEET = 5  # number of gateways up to which neither watches nor delays are extended
MAX_WATCH_FACTOR = 8.0  # bounds the factor by which a large fleet extends its watches
INITIAL_BACKOFF_S = 0.02  # seconds of backoff after the first failed call; doubles with each further one
MAX_BACKOFF_S = 0.5  # bounds the backoff in seconds, before jitter
MAX_DOUBLINGS = 10  # bounds how often backoff and spread double
MIN_BACKOFF_JITTER = 0.5  # smallest factor by which the backoff is randomized
MAX_BACKOFF_JITTER = 1.5  # largest factor by which the backoff is randomized
# Seconds per gateway beyond SMALL_FLEET over which a fleet spreads its calls after a failure.
SPREAD_PER_GATEWAY_S = 0.8
# Initial value of the same until the first list is received, as the configured list may be outdated.
INITIAL_SPREAD_PER_GATEWAY_S = 0.25
MIN_RETRY_JITTER = 0.8  # fraction of the spread before which no retry after the first one is made


class DiscoveryBackoff:
    """Exponential backoff with jitter, spread over the fleet.

    A shared discovery service handles one call after another and rejects those that waited too long, at the
    cost of a handled one. Once the fleet calls faster than the service responds, all calls fail until they
    become fewer, so gateways spread their calls. The agent on a gateway's own machine has no other caller:
    delays would only make the list older.

    The first call after a failure is spread evenly. Later ones are made towards the end of the spread, which
    keeps the gateways apart with the fewest calls.
    """

    def __init__(
        self,
        fleet_size: int,
        rng: random.Random,
        *,
        is_only_caller: bool = False,
        max_backoff_s: float = MAX_BACKOFF_S,
    ) -> None:
        """Share discovery with a fleet of this size, or be its only caller."""
        self._fleet_size = fleet_size
        self._rng = rng
        self._max_backoff_s = max_backoff_s
        self._callers = 1 if is_only_caller else fleet_size
        self._failures = 0  # calls that failed since the last successful one
        self._spread_per_gateway_s = INITIAL_SPREAD_PER_GATEWAY_S

    def on_success(self) -> None:
        """Reset the backoff after a successful call."""
        self._failures = 0
        self._spread_per_gateway_s = SPREAD_PER_GATEWAY_S

    def on_overload(self) -> None:
        """Assume that discovery is shared with the fleet, because it has too many callers."""
        self._callers = self._fleet_size

    def watch_timeout_ms(self) -> int:
        """Return how long a watch may wait for a change, in milliseconds."""
        factor = max(1.0, self._callers / SMALL_FLEET)
        return int(WATCH_TIMEOUT_MS * min(MAX_WATCH_FACTOR, factor))

    def next_delay_s(self, elapsed_s: float = 0.0) -> float:
        """Return the delay after a failed call, in seconds.

        `elapsed_s` is the time, of the failed call, for which discovery may have been reachable.
        """
        is_first = not self._failures
        growth = 2.0 ** min(self._failures, MAX_DOUBLINGS)
        self._failures += 1
        max_delay_s = max(INITIAL_BACKOFF_S, FRESHNESS_S - CALL_TIMEOUT_S - elapsed_s)
        backoff_s = self._jittered_backoff_s(growth)
        spread_s = min(max_delay_s, self._fleet_spread_s(growth))
        jitter = self._rng.uniform(0.0 if is_first else MIN_RETRY_JITTER, 1.0)
        return min(max_delay_s, backoff_s + spread_s * jitter)

    def _jittered_backoff_s(self, growth: float) -> float:
        backoff_s = min(self._max_backoff_s, INITIAL_BACKOFF_S * growth)
        return backoff_s * self._rng.uniform(MIN_BACKOFF_JITTER, MAX_BACKOFF_JITTER)

    def _fleet_spread_s(self, growth: float) -> float:
        per_gateway_s = min(SPREAD_PER_GATEWAY_S, self._spread_per_gateway_s * growth)
        return per_gateway_s * max(0, self._callers - SMALL_FLEET)
