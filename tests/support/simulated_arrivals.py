"""Random requests that arrive at the gateways of a fleet."""

from typing import NamedTuple

from gateway.interface.events import RequestArrived

UNIT_CHOICES = (1, 1, 2, 4)  # units that a request needs: each element is drawn with equal probability
MIN_DEADLINE_FRACTION = 0.05  # minimum of a request's deadline as a fraction of its class's deadline
# Number of customers of a plan with a quota on requests in flight; any other plan has one customer.
CUSTOMERS_WITH_IN_FLIGHT_QUOTA = 4


class SimulatedArrival(NamedTuple):
    """The event of a request's arrival, and the number of the gateway that receives it."""

    gateway: int
    event: RequestArrived


def draw_arrival(rng, settings, request_id, gateways, now_ms):
    """Draw a request with a random class, customer and deadline.

    Either all gateways or the first two serve the customer, and one of these receives the request.
    """
    gateway = rng.randrange(gateways)
    request_class = rng.choice(settings.classes)
    plan = rng.choice(settings.plans)
    spread = rng.choice((2, gateways))
    customer = rng.randrange(CUSTOMERS_WITH_IN_FLIGHT_QUOTA if plan.max_in_flight else 1)
    if spread == 2:
        gateway = rng.randrange(2)
    deadline_at_ms = now_ms + request_class.deadline_ms * rng.uniform(MIN_DEADLINE_FRACTION, 1)
    event = RequestArrived(
        request_id,
        f"{plan.name}-{customer}-{spread}",
        request_class.name,
        plan.name,
        deadline_at_ms,
        rng.choice(UNIT_CHOICES),
        0,
        spread,
    )
    return SimulatedArrival(gateway, event)
