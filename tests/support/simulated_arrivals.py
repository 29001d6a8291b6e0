"""Random requests for a fleet of gateways."""

from typing import NamedTuple

from gateway.interface.events import RequestArrived

UNITS = (1, 1, 2, 4)
MIN_DEADLINE_FRACTION = 0.05  # of the class's deadline
CUSTOMERS_WITH_IN_FLIGHT_QUOTA = 4  # customers of a plan with such a quota; of others there is one


class SimulatedArrival(NamedTuple):
    """A request and the gateway that it arrives at."""

    gateway: int
    event: RequestArrived


def draw_arrival(rng, settings, request_id, gateways, now):
    """Draw a request of a customer that is served by all gateways or by the first two."""
    gateway = rng.randrange(gateways)
    request_class = rng.choice(settings.classes)
    plan = rng.choice(settings.plans)
    spread = rng.choice((2, gateways))
    customer = rng.randrange(CUSTOMERS_WITH_IN_FLIGHT_QUOTA if plan.max_in_flight else 1)
    if spread == 2:
        gateway = rng.randrange(2)
    deadline_at_ms = now + request_class.deadline_ms * rng.uniform(MIN_DEADLINE_FRACTION, 1)
    event = RequestArrived(
        request_id,
        f"{plan.name}-{customer}-{spread}",
        request_class.name,
        plan.name,
        deadline_at_ms,
        rng.choice(UNITS),
        0,
        spread,
    )
    return SimulatedArrival(gateway, event)
