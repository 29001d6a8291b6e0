"""Admission by quota: from the local bucket, by a lease of the customer's quota leader, or optimistically."""

from typing import Protocol

from gateway.gossip.codec import EntryKind, QuotaEntry
from gateway.policy.context import PolicyComponent, PolicyContext
from gateway.policy.dispatch.latency import LATENCY_GAIN, longest_wait_ms
from gateway.policy.quota.accounts import QuotaAccounts, per_second
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
    """What is notified of a request's quota."""

    def on_lease_reply(self, request: RequestRecord, verdict: EntryKind) -> None:
        """The leader grants the request's units, lets it wait for them, or denies them."""


class LeaseClient(PolicyComponent):
    """Admits requests by what the local buckets and the quota leaders have.

    While a leader is silent, requests are admitted one at a time into the local bucket's debt.
    """

    def __init__(self, context: PolicyContext, listener: QuotaListener, send: EntrySender) -> None:
        super().__init__(context)
        self.accounts = QuotaAccounts(context)
        self._listener = listener
        self._send = send
        self._silent_leaders: set[int] = set()  # that left a lease request unanswered
        self.reply_ms = INITIAL_REPLY_MS  # expected time of a leader's reply
        self.leases = LeaseTable(context.settings)

    def admit(self, request: RequestRecord, wait_ms: float) -> bool:
        """Return whether a request, which can wait for so long, is admitted at once.

        Where the local bucket lacks units, the leader is asked, unless its reply would come too late.
        """
        account = request.account
        plan = request.plan
        is_too_late = self.reply_ms > wait_ms and account.leader != self._settings.number
        needed = 0.0 if is_too_late else request.arrival.units
        has_rate_alone = plan.rate_per_s and not plan.max_in_flight
        if has_rate_alone and needed <= account.quota_level and self._draw(request):
            return True
        # Danger: who asks for many times its quota floods its leader's inbox, and what is lost there is
        # everyone's. So only so many ask as a leader can take in; the others have nothing to wait for.
        inbox_per_s = self._settings.gossip_inbox_per_s
        taken_in_per_s = max(CUSTOMER_INBOX_FRACTION * inbox_per_s, CUSTOMER_QUOTA_FACTOR * plan.rate_per_s)
        if not inbox_per_s or self._rng.random() * account.fleet_demand_per_s <= taken_in_per_s:
            self._request_lease(request)
        else:
            self._listener.on_lease_reply(request, EntryKind.DENY)
        return False

    def on_reply_overdue(self, request: RequestRecord, *, is_last: bool = False) -> bool:
        """Return whether a request whose leader has not replied is admitted now.

        The leader is asked once more. After that, or where the request can't wait (`is_last`), the local
        bucket goes into debt: a quiet customer's lone request so goes on; each gateway admits one at a time.
        """
        if request.leader_replied:
            return False  # it waits at its leader
        account = self.accounts.refill(request.arrival, request.plan)
        may_ask_again = request.lease_requests < MAX_LEASE_REQUESTS and not is_last
        if may_ask_again and account.leader not in self._silent_leaders:
            self._request_lease(request)
            return False
        self._silent_leaders.add(account.leader)
        self._schedule(self._turn.now_ms + SILENT_LEADER_RETRY_MS, TimerKind.LEASE_REPLY_OVERDUE, request.id)
        if account.quota_level < 0 or (request.plan.max_in_flight and account.in_flight):
            return False
        return self._draw(request)

    def on_gossip(self, sender: int) -> None:
        """Take note that a gateway is not silent."""
        self._silent_leaders.discard(sender)

    def on_reply(self, sender: int, entry: QuotaEntry) -> None:
        """Take in a leader's reply."""
        request = self.leases.find(sender, entry)
        if request is None:
            if entry.kind is EntryKind.GRANT and not self._role.has_sibling:  # the request has ended
                self._send(sender, entry._replace(kind=EntryKind.RETURN))
            return
        request.account.fleet_demand_per_s = entry.demand_per_s
        request.account.fleet_demand_at_ms = self._turn.now_ms
        # What we ask ourselves is answered in no time, and says nothing of how long a message takes.
        is_first = request.lease_requests == 1 and not request.leader_replied
        if is_first and sender != self._settings.number:
            self.reply_ms += (
                self._turn.now_ms - request.lease_requested_at_ms - self.reply_ms
            ) * LATENCY_GAIN
        request.leader_replied = True
        if entry.kind is not EntryKind.DENY and request.units_drawn:
            return  # a duplicate, or it was admitted meanwhile
        if entry.kind is EntryKind.GRANT:
            request.units_drawn = request.arrival.units
        elif entry.kind is EntryKind.QUEUED:  # its leader drops it at some time: then nothing is waited for
            expires_at_ms = request.lease_requested_at_ms + longest_wait_ms(request.request_class)
            self._schedule(expires_at_ms, TimerKind.LEASE_EXPIRED, request.id)
        self._listener.on_lease_reply(request, entry.kind)

    def close(self, request: RequestRecord) -> None:
        """Return what a request that has ended drew and did not use, and its slot."""
        self.leases.remove(request)
        if request.lease_requests and not request.leader_replied:  # a reply takes longer than that
            late_ms = MISSED_REPLY_FACTOR * (self._turn.now_ms - request.arrived_at_ms)
            self.reply_ms += max(0.0, late_ms - self.reply_ms) * LATENCY_GAIN
        if request.units_drawn and (not request.attempts or request.plan.max_in_flight):
            self._tell_leader(EntryKind.RETURN, request)

    def _draw(self, request: RequestRecord) -> bool:
        """Admit from the local bucket, where our part of the ceiling allows it, and tell the leader."""
        account = request.account
        units = request.arrival.units
        if self._role.is_retired or (request.plan.ceiling_per_s and units > account.ceiling_level):
            return False
        account.quota_level -= units
        account.ceiling_level -= units
        request.units_drawn = units
        self._tell_leader(EntryKind.USED, request)
        return True

    def _request_lease(self, request: RequestRecord) -> None:
        request.lease_requests += 1
        request.lease_requested_at_ms = self._turn.now_ms
        is_retry = request.arrival.is_client_retry
        self._tell_leader(EntryKind.RETRY_REQUEST if is_retry else EntryKind.REQUEST, request)
        if not request.leader_replied:
            is_silent = request.account.leader in self._silent_leaders
            overdue_ms = 0.0 if is_silent else max(MIN_OVERDUE_MS, OVERDUE_FACTOR * self.reply_ms)
            self._schedule(self._turn.now_ms + overdue_ms, TimerKind.LEASE_REPLY_OVERDUE, request.id)

    def _tell_leader(self, kind: EntryKind, request: RequestRecord) -> None:
        entry = self.leases.entry(kind, request, per_second(request.account.demand))
        self._send(request.account.leader, entry)
