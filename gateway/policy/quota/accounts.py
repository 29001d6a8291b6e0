"""The accounts of all customers that have sent requests to this gateway.

The local bucket of an account admits requests without a message to another gateway. It fills at the rate of
the customer's quota times this gateway's fraction of the customer's recent demand. If the customer's set of
gateways is large, that fraction of the burst is less than one request needs. In a departure from the paper,
one gateway of the set is therefore the customer's quota leader. The leader keeps a bucket for the customer,
from which it leases units to all gateways.
"""

from collections.abc import Iterable

from gateway.gossip.codec import customer_tag
from gateway.interface.events import RequestArrived
from gateway.interface.settings import Plan
from gateway.policy.context import PolicyComponent, PolicyContext
from gateway.policy.quota.account import AccountKey, CustomerAccount
from gateway.policy.quota.ceiling import LOCAL_CEILING_FRACTION, initial_ceiling_level
from gateway.policy.requests.request_record import RequestRecord

# Minimum time without a request, in milliseconds, before an account or a leader's bucket may be dropped.
IDLE_RETENTION_MS = 8000.0

# Minimum time between two drops of accounts or buckets for lack of room, in milliseconds.
DROP_INTERVAL_MS = 100.0

# Fraction of the accounts that may be kept down to which accounts are dropped for lack of room.
FILL_FRACTION = 0.75


class QuotaAccounts(PolicyComponent):
    """The accounts at this gateway, by customer, plan and set of gateways."""

    def __init__(self, context: PolicyContext) -> None:
        super().__init__(context)
        self.by_key: dict[AccountKey, CustomerAccount] = {}
        self._next_drop_at_ms = 0.0  # earliest time of the next drop for lack of room

    def has_room_for(self, arrival: RequestArrived, open_requests: Iterable[RequestRecord]) -> bool:
        """Return whether the account of a request's customer is kept or may be added.

        If the accounts have reached their number, some that a new account can replace are dropped first, at
        most once in each DROP_INTERVAL_MS.
        """
        if len(self.by_key) < self._context.max_customers:
            return True
        if _account_key(arrival) in self.by_key:
            return True
        if self._turn.now_ms >= self._next_drop_at_ms:
            self._next_drop_at_ms = self._turn.now_ms + DROP_INTERVAL_MS
            self._make_room(open_requests)
        return len(self.by_key) < self._context.max_customers

    def refilled_account(self, arrival: RequestArrived, plan: Plan) -> CustomerAccount:
        """Return the account of a request's customer, refilled; add the account at the first request."""
        key = _account_key(arrival)
        account = self.by_key.get(key)
        if account is None:
            account = self.new_account(key, plan)
            self.by_key[key] = account
        account.refill(self._turn.now_ms)
        return account

    def new_account(self, key: AccountKey, plan: Plan) -> CustomerAccount:
        """Return a new account, which the caller adds to `by_key`.

        The bucket for the ceiling holds only the units that have accrued since the gateway started. Units
        that accrued before the start may already have been used.
        """
        gateways = self._settings.gateways
        spread = max(1, min(key.spread, gateways))
        tag = customer_tag(key.customer)
        leader = (key.first_gateway + tag % spread) % gateways
        account = CustomerAccount(plan, tag, spread, leader, self._turn.now_ms)
        ceiling_level = initial_ceiling_level(self._turn.now_ms - self._role.started_at_ms, plan)
        account.ceiling_level = ceiling_level * LOCAL_CEILING_FRACTION / spread
        return account

    def drop_idle_accounts(self, open_requests: Iterable[RequestRecord]) -> None:
        """Drop accounts without open or recent requests that a new account can replace."""
        now_ms = self._turn.now_ms
        for key in self._replaceable_keys(open_requests):
            if now_ms - self.by_key[key].refilled_at_ms > IDLE_RETENTION_MS:
                del self.by_key[key]

    def _make_room(self, open_requests: Iterable[RequestRecord]) -> None:
        """Drop replaceable accounts, least demand first, down to FILL_FRACTION of their number.

        Customers that send many requests thus keep their accounts beside ever new ones that send one each.
        """
        max_accounts = self._context.max_customers * FILL_FRACTION
        keys = self._replaceable_keys(open_requests)
        for key in sorted(keys, key=lambda candidate: self.by_key[candidate].demand):
            if len(self.by_key) <= max_accounts:
                return
            del self.by_key[key]

    def _replaceable_keys(self, open_requests: Iterable[RequestRecord]) -> list[AccountKey]:
        """Return the keys of the accounts without open requests that a new account can replace.

        An account that is in debt, or whose bucket for the ceiling is not full, is kept: a new account would
        grant the missing units again.
        """
        open_accounts = {id(request.account) for request in open_requests}
        now_ms = self._turn.now_ms
        return [
            key
            for key, account in self.by_key.items()
            if not account.in_flight and id(account) not in open_accounts and account.is_replaceable(now_ms)
        ]


def _account_key(arrival: RequestArrived) -> AccountKey:
    return AccountKey(arrival.customer, arrival.plan_name, arrival.spread, arrival.first_gateway)
