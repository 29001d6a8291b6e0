"""The accounts of all customers at this gateway, whose local buckets admit requests without any message.

A customer's local bucket fills at its quota times this gateway's fraction of the customer's recent demand. In
a wide set of gateways that fraction holds less than one request. In a departure from the paper, one gateway
of the set is therefore the customer's quota leader, and keeps the bucket from which all gateways get leases.
"""

from collections.abc import Iterable

from gateway.gossip.codec import customer_tag
from gateway.interface.events import RequestArrived
from gateway.interface.settings import Plan
from gateway.policy.context import PolicyComponent, PolicyContext
from gateway.policy.quota.account import AccountKey, CustomerAccount
from gateway.policy.quota.ceiling import LOCAL_CEILING_FRACTION, initial_ceiling_level
from gateway.policy.requests.request_record import RequestRecord

IDLE_RETENTION_MS = 8000.0  # minimum time without a request before a full account is dropped


class QuotaAccounts(PolicyComponent):
    """The accounts of the customers that have sent requests to this gateway."""

    def __init__(self, context: PolicyContext) -> None:
        super().__init__(context)
        self.by_key: dict[AccountKey, CustomerAccount] = {}

    def refilled_account(self, arrival: RequestArrived, plan: Plan) -> CustomerAccount:
        """Return the account of a request's customer, with its buckets refilled."""
        key = AccountKey(arrival.customer, plan.name, arrival.spread, arrival.first_gateway)
        account = self.by_key.get(key)
        if account is None:
            account = self.create(key, plan)
            self.by_key[key] = account
        account.refill(self._turn.now_ms)
        return account

    def create(self, key: AccountKey, plan: Plan) -> CustomerAccount:
        """Return a new account, whose ceiling holds the units that cannot have been used yet."""
        gateways = self._settings.gateways
        spread = max(1, min(key.spread, gateways))
        tag = customer_tag(key.customer)
        leader = (key.first_gateway + tag % spread) % gateways
        account = CustomerAccount(plan, tag, spread, leader, self._turn.now_ms)
        ceiling_level = initial_ceiling_level(self._turn.now_ms - self._role.started_at_ms, plan)
        account.ceiling_level = ceiling_level * LOCAL_CEILING_FRACTION / spread
        return account

    def drop_idle_accounts(self, open_requests: Iterable[RequestRecord]) -> None:
        """Drop unused accounts that new ones would replace without granting a quota twice."""
        open_accounts = {id(request.account) for request in open_requests}
        now_ms = self._turn.now_ms
        for key, account in list(self.by_key.items()):
            is_used = id(account) in open_accounts or account.in_flight
            is_old = now_ms - account.refilled_at_ms > IDLE_RETENTION_MS
            if is_old and not is_used and account.is_replaceable(now_ms):
                del self.by_key[key]
