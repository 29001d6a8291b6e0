"""Admission by quota: from the local bucket, by a lease from the quota leader, or optimistically."""

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

# Expected time, in milliseconds, from a lease request to its reply, until the first reply is received.
INITIAL_EXPECTED_REPLY_MS = 60.0

# A quota leader's reply to a lease request is overdue after this multiple of the expected reply time.
OVERDUE_FACTOR = 2.5

# Minimum time, in milliseconds, after which a reply is overdue, however short the expected reply time is. It
# does not apply to a silent leader, whose reply is overdue at once.
MIN_OVERDUE_MS = 30.0

# If a request ends before its leader's reply, the time of the reply is unknown. The expected reply time then
# moves toward this multiple of the request's time in the gateway, unless it is already longer.
MISSED_REPLY_FACTOR = 2.0

# Fraction of the rate of its leader's gossip inbox that the lease requests of one customer may use.
CUSTOMER_INBOX_FRACTION = 0.5

# Rate of lease requests that one customer may use in any case, even if it is a greater part of its leader's
# gossip inbox, as a multiple of the rate of the customer's quota.
CUSTOMER_QUOTA_FACTOR = 2.0

# Maximum number of lease requests sent for one request. If the reply to the last of them is overdue, the
# leader counts as silent. If the request cannot wait any longer, one lease request without a reply suffices.
MAX_LEASE_REQUESTS = 2

# Interval, in milliseconds, at which the gateway retries the admission of a waiting request from the local
# bucket while the request's quota leader is silent.
SILENT_LEADER_RETRY_INTERVAL_MS = 250.0


class LeaseReplyListener(Protocol):
    """Receives the replies of quota leaders to lease requests."""

    def on_lease_reply(self, request: RequestRecord, reply_kind: EntryKind) -> None:
        """Handle the leader's reply about a request: GRANT, QUEUED or DENY."""


class LeaseClient(PolicyComponent):
    """Admits requests from the local buckets and by leases of the quota leaders.

    While a customer's leader is silent, requests are admitted optimistically: a request is admitted even if
    the local bucket holds too few units for it. Its units are subtracted all the same, and while the bucket
    is in debt, no further request of the customer is admitted.
    """

    def __init__(self, context: PolicyContext, listener: LeaseReplyListener, send: EntrySender) -> None:
        super().__init__(context)
        self.accounts = QuotaAccounts(context)
        self.leases = LeaseTable(context.settings)
        self.expected_reply_ms = INITIAL_EXPECTED_REPLY_MS  # expected time from a lease request to its reply
        self._listener = listener
        self._send = send
        # Gateways whose replies were overdue and that have sent no datagram since.
        self._silent_leaders: set[int] = set()

    def admit(self, request: RequestRecord, max_reply_wait_ms: float) -> bool:
        """Admit a request from the local bucket, or request a lease; return whether it is admitted now.

        The local bucket is used here only if the plan has a quota on the rate (`rate_per_s`) and no quota on
        concurrent requests (`max_in_flight`), which only the leader counts for all gateways. If the leader's
        reply is expected later than `max_reply_wait_ms`, the bucket need not hold enough units, but must not
        be in debt. If the request is not admitted now, the listener receives the leader's reply later, or a
        DENY during this call if the customer sends more lease requests than the leader's inbox permits.
        """
        account = request.account
        plan = request.plan
        is_reply_too_late = (
            self.expected_reply_ms > max_reply_wait_ms and account.leader != self._settings.gateway_number
        )
        needed_units = 0.0 if is_reply_too_late else request.arrival.units
        has_only_rate_quota = plan.rate_per_s and not plan.max_in_flight
        if has_only_rate_quota and needed_units <= account.quota_level and self._admit_locally(request):
            return True
        if self._is_within_inbox_limit(request):
            self._request_lease(request)
        else:
            self._listener.on_lease_reply(request, EntryKind.DENY)
        return False

    def on_reply_overdue(self, request: RequestRecord, *, is_last: bool = False) -> bool:
        """Handle an overdue reply; return whether the request is admitted optimistically.

        The lease request is sent again if fewer than MAX_LEASE_REQUESTS have been sent, the leader does not
        count as silent yet, and the request can wait for another reply. Otherwise the leader counts as
        silent, and the request is admitted under these conditions: the local bucket is not in debt; if the
        plan limits concurrent requests (`max_in_flight`), the account has no other admitted request that is
        still open; and `_admit_locally` permits it.

        Args:
            request: A request that awaits quota. If the leader has replied, nothing is done.
            is_last: Whether this is the last chance to admit the request, because its queue timeout is due.
        """
        if request.leader_replied:
            # The reply was QUEUED: a GRANT admits the request, and a DENY ends it or admits it as overage.
            return False
        account = self.accounts.refilled_account(request.arrival, request.plan)
        may_resend = request.lease_requests < MAX_LEASE_REQUESTS and not is_last
        if may_resend and account.leader not in self._silent_leaders:
            self._request_lease(request)
            return False
        self._silent_leaders.add(account.leader)
        self._schedule(
            self._turn.now_ms + SILENT_LEADER_RETRY_INTERVAL_MS, TimerKind.LEASE_REPLY_OVERDUE, request.id
        )
        if account.quota_level < 0 or (request.plan.max_in_flight and account.in_flight):
            return False
        return self._admit_locally(request)

    def mark_responsive(self, gateway: int) -> None:
        """Stop treating a gateway as a silent leader, because a datagram from it has arrived."""
        self._silent_leaders.discard(gateway)

    def on_reply(self, sender: int, entry: QuotaEntry) -> None:
        """Handle a leader's reply, and pass it to the listener.

        The reply also updates the customer's demand at all gateways, which the leader reports, and the
        expected reply time. The listener does not receive a GRANT or QUEUED if the request has
        drawn units already.
        """
        request = self.leases.find_request(sender, entry)
        if request is None:
            self._on_unmatched_reply(sender, entry)
            return
        request.account.fleet_demand_per_s = entry.demand_per_s
        request.account.fleet_demand_at_ms = self._turn.now_ms
        self._update_expected_reply(sender, request)
        request.leader_replied = True
        if entry.kind is not EntryKind.DENY and request.units_drawn:
            return  # the reply is a duplicate, or the request has been admitted from the local bucket
        if entry.kind is EntryKind.GRANT:
            request.units_drawn = request.arrival.units
        elif entry.kind is EntryKind.QUEUED:
            expires_at_ms = request.lease_requested_at_ms + max_wait_ms(request.request_class)
            self._schedule(expires_at_ms, TimerKind.LEASE_EXPIRED, request.id)
        self._listener.on_lease_reply(request, entry.kind)

    def release_lease(self, request: RequestRecord) -> None:
        """Forget a request that ends, with or without a lease, and return units or a slot to the leader.

        A request that has drawn units returns them if no attempt was sent. If the plan limits concurrent
        requests (`max_in_flight`), each such request returns its slot. Other requests return nothing. If the
        leader has not replied to a lease request, the expected reply time may be raised.
        """
        self.leases.remove_request(request)
        if request.lease_requests and not request.leader_replied:
            self._raise_expected_reply(request)
        if request.units_drawn and (not request.attempts_sent or request.plan.max_in_flight):
            self._send_to_leader(EntryKind.RETURN, request)

    def _admit_locally(self, request: RequestRecord) -> bool:
        """Admit a request from the local bucket and report that to the leader; return whether it is admitted.

        The request is not admitted if this process has handed over to a successor, or if the plan has a
        ceiling and this gateway's part of it holds fewer units than the request needs. The caller checks the
        level of the quota's bucket, which may become negative.
        """
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
        """Return whether a lease request may be sent for a request.

        The limit applies to the customer's demand at all gateways, as its leader reported it last. A demand
        that is below the limit or unknown permits each lease request. So does a `gossip_inbox_per_s` of 0.

        A customer that exceeds its quota many times over would overflow the inbox of its leader. The messages
        lost there are those of all customers. For such a customer, lease requests are therefore sent for a
        random sample of its requests only.
        """
        inbox_per_s = self._settings.gossip_inbox_per_s
        quota_limit_per_s = CUSTOMER_QUOTA_FACTOR * request.plan.rate_per_s
        limit_per_s = max(CUSTOMER_INBOX_FRACTION * inbox_per_s, quota_limit_per_s)
        return not inbox_per_s or self._rng.random() * request.account.fleet_demand_per_s <= limit_per_s

    def _request_lease(self, request: RequestRecord) -> None:
        request.lease_requests += 1
        request.lease_requested_at_ms = self._turn.now_ms
        is_client_retry = request.arrival.is_client_retry
        self._send_to_leader(EntryKind.RETRY_REQUEST if is_client_retry else EntryKind.REQUEST, request)
        if not request.leader_replied:
            is_silent = request.account.leader in self._silent_leaders
            overdue_ms = 0.0 if is_silent else max(MIN_OVERDUE_MS, OVERDUE_FACTOR * self.expected_reply_ms)
            self._schedule(self._turn.now_ms + overdue_ms, TimerKind.LEASE_REPLY_OVERDUE, request.id)

    def _on_unmatched_reply(self, sender: int, entry: QuotaEntry) -> None:
        """Return a grant that belongs to no open request, unless it may belong to the sibling process."""
        if entry.kind is EntryKind.GRANT and not self._role.has_sibling:
            self._send(sender, entry._replace(kind=EntryKind.RETURN))

    def _update_expected_reply(self, sender: int, request: RequestRecord) -> None:
        """Update the expected reply time from the time that a reply took.

        Only the first reply to a request counts, and only if one lease request was sent for it. After a
        repetition it is not known which of the lease requests the reply answers.

        Replies that this gateway sends to itself take no time and are not counted.
        """
        is_first_reply = request.lease_requests == 1 and not request.leader_replied
        if is_first_reply and sender != self._settings.gateway_number:
            elapsed_ms = self._turn.now_ms - request.lease_requested_at_ms
            self.expected_reply_ms += (elapsed_ms - self.expected_reply_ms) * LATENCY_GAIN

    def _raise_expected_reply(self, request: RequestRecord) -> None:
        """Raise the expected reply time after a request has ended without its leader's reply."""
        assumed_ms = MISSED_REPLY_FACTOR * (self._turn.now_ms - request.arrived_at_ms)
        self.expected_reply_ms += max(0.0, assumed_ms - self.expected_reply_ms) * LATENCY_GAIN

    def _send_to_leader(self, kind: EntryKind, request: RequestRecord) -> None:
        entry = self.leases.create_entry(kind, request, demand_per_s(request.account.demand))
        self._send(request.account.leader, entry)
