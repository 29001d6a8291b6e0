"""Customers' accounts at this gateway, with the local buckets that admit requests without asking anybody.

Each customer's bucket fills at the quota times this gateway's part of its recent demand. A part of a wide set
of gateways holds less than one request. So (departure from the paper) one gateway of the set, the customer's
quota leader, keeps the bucket that all draw on.
"""

from collections.abc import Iterable

from gateway.gossip.codec import customer_tag
from gateway.interface.events import RequestArrived
from gateway.interface.settings import Plan
from gateway.policy.context import PolicyComponent, PolicyContext
from gateway.policy.quota.account import AccountKey, CustomerAccount
from gateway.policy.requests.request_record import RequestRecord

DEMAND_MEMORY_MS = 3000.0  # time constant of the moving average of a customer's demand
LOCAL_BURST_FRACTION = 0.03  # fraction of a plan's burst that all local buckets hold together
LEADER_CEILING_FRACTION = 0.75  # fraction of a ceiling that the quota leader may grant
LOCAL_CEILING_FRACTION = 1 - LEADER_CEILING_FRACTION  # fraction that is split evenly over the gateways
IDLE_RETENTION_MS = 8000.0  # minimum time without a request before a full account is dropped


def per_second(demand: float) -> float:
    """Return the rate that a decaying sum of units stands for."""
    return demand * 1000 / DEMAND_MEMORY_MS


def untouched_ceiling(age_ms: float, plan: Plan) -> float:
    """Return what a ceiling holds, `age_ms` after the gateway's start, for a customer not heard of.

    Its parts are empty at the start, so that a restart grants nothing twice; from then on they fill.
    """
    return min(plan.ceiling_burst, plan.ceiling_per_s * age_ms / 1000)


class QuotaAccounts(PolicyComponent):
    """The accounts of the customers that have come to this gateway."""

    def __init__(self, context: PolicyContext) -> None:
        super().__init__(context)
        self.by_key: dict[AccountKey, CustomerAccount] = {}

    def refill(self, arrival: RequestArrived, plan: Plan) -> CustomerAccount:
        """Return the customer's account, its buckets filled for the time that has passed."""
        key = AccountKey(arrival.customer, plan.name, arrival.spread, arrival.first_gateway)
        account = self.by_key.get(key)
        if account is None:
            account = self.by_key[key] = self.create(key, plan)
        elapsed_s = account.advance(self._turn.now_ms, DEMAND_MEMORY_MS)
        if self._turn.now_ms - account.fleet_demand_at_ms > 2 * DEMAND_MEMORY_MS:
            account.fleet_demand_per_s = 0.0
        own_part = 1 / account.spread  # where nothing is known of the others, the even one
        if account.fleet_demand_per_s:
            own_part = min(1.0, per_second(account.demand) / account.fleet_demand_per_s)
        account.fill(elapsed_s, LOCAL_BURST_FRACTION, own_part, LOCAL_CEILING_FRACTION / account.spread)
        return account

    def create(self, key: AccountKey, plan: Plan) -> CustomerAccount:
        """Return a new account, with what its part of the ceiling surely holds."""
        gateways = self._settings.gateways
        spread = max(1, min(key.spread, gateways))
        tag = customer_tag(key.customer)
        leader = (key.first_gateway + tag % spread) % gateways
        account = CustomerAccount(plan, tag, spread, leader, self._turn.now_ms)
        account.ceiling_level = (
            untouched_ceiling(self._turn.now_ms - self._role.started_at_ms, plan)
            * LOCAL_CEILING_FRACTION
            / spread
        )
        return account

    def forget(self, open_requests: Iterable[RequestRecord]) -> None:
        """Forget customers of whom nothing is open and whose buckets are full again.

        They begin anew with no more than that, so no quota is granted twice.
        """
        open_accounts = {id(request.account) for request in open_requests}
        for key, account in list(self.by_key.items()):
            is_used = id(account) in open_accounts or account.in_flight
            is_old = self._turn.now_ms - account.refilled_at_ms > IDLE_RETENTION_MS
            if is_old and not is_used and account.is_full(self._turn.now_ms, LOCAL_CEILING_FRACTION):
                del self.by_key[key]
