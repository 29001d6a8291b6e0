"""Admission by quota: from the local bucket, by a lease of the customer's quota leader, or optimistically."""

from typing import Protocol

from gateway.gossip.codec import EntryKind, QuotaEntry
from gateway.policy.context import PolicyComponent, PolicyContext
from gateway.policy.dispatch.latency import LATENCY_GAIN, max_wait_ms
from gateway.policy.quota.accounts import QuotaAccounts
from gateway.policy.quota.demand import demand_per_s
from gateway.policy.quota.entry_sender import EntrySender
from gateway.policy.quota.lease_table import LeaseTable
from gateway.policy.requests.request_record import RequestRecord
from gateway.policy.timers import TimerKind

INITIAL_REPLY_MS = 60.0  # expected reply time of a leader before its first reply
OVERDUE_FACTOR = 2.5  # multiple of the expected reply time after which a reply is overdue
MIN_OVERDUE_MS = 30.0  # minimum time after which a reply is overdue
MISSED_REPLY_FACTOR = 2.0  # multiple of the time waited that a missing reply is assumed to take
CUSTOMER_INBOX_FRACTION = 0.5  # fraction of a leader's inbox that the requests of one customer may fill
CUSTOMER_QUOTA_FACTOR = 2.0  # multiple of a customer's quota that may be requested beyond that fraction
MAX_LEASE_REQUESTS = 2  # lease requests sent for one request before its leader counts as silent
SILENT_LEADER_RETRY_MS = 250.0  # interval at which a request with a silent leader retries the local bucket


class QuotaListener(Protocol):
    """Receives the verdicts of quota leaders on requests."""

    def on_lease_reply(self, request: RequestRecord, verdict: EntryKind) -> None:
        """Handle the leader's verdict on a request: GRANT, QUEUED or DENY."""


class LeaseClient(PolicyComponent):
    """Admits requests from the local buckets and by leases of the quota leaders.

    While a customer's leader is silent, its requests are admitted optimistically, one at a time: the local
    bucket goes into debt.
    """

    def __init__(self, context: PolicyContext, listener: QuotaListener, send: EntrySender) -> None:
        super().__init__(context)
        self.accounts = QuotaAccounts(context)
        self.leases = LeaseTable(context.settings)
        self.reply_ms = INITIAL_REPLY_MS  # expected reply time of a leader
        self._listener = listener
        self._send = send
        self._silent_leaders: set[int] = set()  # gateways that left lease requests without a reply

    def admit(self, request: RequestRecord, max_wait_ms: float) -> bool:
        """Return whether a request, which can wait for `max_wait_ms`, is admitted at once.

        Where the local bucket lacks units, the leader is sent a lease request. If its reply would come too
        late, the local bucket admits the request without the units.
        """
        account = request.account
        plan = request.plan
        is_too_late = self.reply_ms > max_wait_ms and account.leader != self._settings.gateway_number
        needed_units = 0.0 if is_too_late else request.arrival.units
        has_only_rate_quota = plan.rate_per_s and not plan.max_in_flight
        if has_only_rate_quota and needed_units <= account.quota_level and self._admit_locally(request):
            return True
        if self._is_within_inbox_limit(request):
            self._request_lease(request)
        else:
            self._listener.on_lease_reply(request, EntryKind.DENY)
        return False

    def on_reply_overdue(self, request: RequestRecord, *, is_last: bool = False) -> bool:
        """Return whether a request whose leader has not replied is admitted now.

        The first time, the lease request is sent again. After that, or where the request cannot wait any
        longer (`is_last`), it is admitted optimistically if the local bucket is not in debt.
        """
        if request.leader_replied:
            return False  # it is queued at its leader
        account = self.accounts.refilled_account(request.arrival, request.plan)
        may_retry = request.lease_requests < MAX_LEASE_REQUESTS and not is_last
        if may_retry and account.leader not in self._silent_leaders:
            self._request_lease(request)
            return False
        self._silent_leaders.add(account.leader)
        self._schedule(self._turn.now_ms + SILENT_LEADER_RETRY_MS, TimerKind.LEASE_REPLY_OVERDUE, request.id)
        if account.quota_level < 0 or (request.plan.max_in_flight and account.in_flight):
            return False
        return self._admit_locally(request)

    def mark_responsive(self, gateway: int) -> None:
        """Record that a gateway is not silent."""
        self._silent_leaders.discard(gateway)

    def on_reply(self, sender: int, entry: QuotaEntry) -> None:
        """Handle a leader's reply."""
        request = self.leases.find(sender, entry)
        if request is None:
            self._on_unmatched_reply(sender, entry)
            return
        request.account.fleet_demand_per_s = entry.demand_per_s
        request.account.fleet_demand_at_ms = self._turn.now_ms
        self._learn_reply_time(sender, request)
        request.leader_replied = True
        if entry.kind is not EntryKind.DENY and request.units_drawn:
            return  # the reply is a duplicate, or the request has been admitted optimistically
        if entry.kind is EntryKind.GRANT:
            request.units_drawn = request.arrival.units
        elif entry.kind is EntryKind.QUEUED:
            expires_at_ms = request.lease_requested_at_ms + max_wait_ms(request.request_class)
            self._schedule(expires_at_ms, TimerKind.LEASE_EXPIRED, request.id)
        self._listener.on_lease_reply(request, entry.kind)

    def release_lease(self, request: RequestRecord) -> None:
        """Return the units that a request drew and did not use, and its slot."""
        self.leases.remove(request)
        if request.lease_requests and not request.leader_replied:
            self._learn_missing_reply(request)
        if request.units_drawn and (not request.attempts_sent or request.plan.max_in_flight):
            self._send_to_leader(EntryKind.RETURN, request)

    def _admit_locally(self, request: RequestRecord) -> bool:
        """Admit from the local bucket if its ceiling permits it, and notify the leader."""
        account = request.account
        units = request.arrival.units
        if self._role.is_retired or (request.plan.ceiling_per_s and units > account.ceiling_level):
            return False
        account.quota_level -= units
        account.ceiling_level -= units
        request.units_drawn = units
        self._send_to_leader(EntryKind.USED, request)
        return True

    def _is_within_inbox_limit(self, request: RequestRecord) -> bool:
        """Return whether a request may send a lease request to its leader.

        A customer that exceeds its quota many times would fill its leader's inbox, and the messages lost
        there concern every customer. Only a random fraction of such a customer's requests is sent.
        """
        inbox_per_s = self._settings.gossip_inbox_per_s
        quota_limit_per_s = CUSTOMER_QUOTA_FACTOR * request.plan.rate_per_s
        limit_per_s = max(CUSTOMER_INBOX_FRACTION * inbox_per_s, quota_limit_per_s)
        return not inbox_per_s or self._rng.random() * request.account.fleet_demand_per_s <= limit_per_s

    def _request_lease(self, request: RequestRecord) -> None:
        request.lease_requests += 1
        request.lease_requested_at_ms = self._turn.now_ms
        is_retry = request.arrival.is_client_retry
        self._send_to_leader(EntryKind.RETRY_REQUEST if is_retry else EntryKind.REQUEST, request)
        if not request.leader_replied:
            is_silent = request.account.leader in self._silent_leaders
            overdue_ms = 0.0 if is_silent else max(MIN_OVERDUE_MS, OVERDUE_FACTOR * self.reply_ms)
            self._schedule(self._turn.now_ms + overdue_ms, TimerKind.LEASE_REPLY_OVERDUE, request.id)

    def _on_unmatched_reply(self, sender: int, entry: QuotaEntry) -> None:
        """Return a grant whose request has ended, unless a sibling process may be waiting for it."""
        if entry.kind is EntryKind.GRANT and not self._role.has_sibling:
            self._send(sender, entry._replace(kind=EntryKind.RETURN))

    def _learn_reply_time(self, sender: int, request: RequestRecord) -> None:
        """Update the expected reply time by a first reply; this gateway's own replies take no time."""
        is_first_reply = request.lease_requests == 1 and not request.leader_replied
        if is_first_reply and sender != self._settings.gateway_number:
            elapsed_ms = self._turn.now_ms - request.lease_requested_at_ms
            self.reply_ms += (elapsed_ms - self.reply_ms) * LATENCY_GAIN

    def _learn_missing_reply(self, request: RequestRecord) -> None:
        """Raise the expected reply time where a request has ended before its leader's reply."""
        assumed_ms = MISSED_REPLY_FACTOR * (self._turn.now_ms - request.arrived_at_ms)
        self.reply_ms += max(0.0, assumed_ms - self.reply_ms) * LATENCY_GAIN

    def _send_to_leader(self, kind: EntryKind, request: RequestRecord) -> None:
        entry = self.leases.entry(kind, request, demand_per_s(request.account.demand))
        self._send(request.account.leader, entry)
