"""The quota leader of customers: it keeps their buckets and leases units from them to all gateways."""

import math

from gateway.gossip.codec import EntryKind, QuotaEntry
from gateway.policy.context import CONTROL_PERIOD_MS, PolicyComponent, PolicyContext
from gateway.policy.dispatch.latency import max_wait_ms
from gateway.policy.quota.accounts import DROP_INTERVAL_MS, IDLE_RETENTION_MS
from gateway.policy.quota.ceiling import LEADER_CEILING_FRACTION, initial_ceiling_level
from gateway.policy.quota.demand import demand_per_s
from gateway.policy.quota.entry_sender import EntrySender
from gateway.policy.quota.leader_bucket import LeaderBucket, LeaseKey, LeaseRequest
from gateway.policy.timers import TimerKind

# Fraction of a quota's burst that stays reserved for requests with greater priority weights when a lease
# request with weight 0 is granted. It falls linearly with the weight, to 0 for the greatest weight of all
# classes.
MAX_RESERVED_BURST_FRACTION = 0.8

# Time after which a slot under a quota on requests in flight is freed even if its gateway has not returned
# it, as a multiple of the latency objective of the request's class.
SLOT_LIFETIME_OBJECTIVES = 1.5

# Minimum time, in milliseconds, for which a grant is remembered. Within that time, the answer to a repeated
# lease request is the same grant, and no more units are drawn.
GRANT_RETENTION_MS = 5000.0

# Number of remembered grants up to which a bucket keeps all of them, whatever their age.
MIN_REMEMBERED_GRANTS = 64


class QuotaLeader(PolicyComponent):
    """Grants the lease requests of all gateways from customers' quotas, by descending priority weight."""

    def __init__(self, context: PolicyContext, send: EntrySender) -> None:
        super().__init__(context)
        self._send = send
        weights = [request_class.priority_weight for request_class in context.settings.classes]
        self._max_priority_weight = max(weights) or 1.0
        self._next_drop_at_ms = 0.0  # earliest time of the next drop for lack of room
        self.buckets: dict[int, LeaderBucket] = {}  # by LeaderBucket.id

    def on_entry(self, key: LeaseKey, entry: QuotaEntry) -> None:
        """Handle a gateway's entry about one of its requests; create the bucket at the first entry.

        If no further bucket may be kept, a lease request is denied, and other entries have no effect.
        """
        bucket = self.buckets.get(entry.bucket_id)
        if bucket is None and not self._has_room():
            if entry.kind in (EntryKind.REQUEST, EntryKind.RETRY_REQUEST):
                self._send(key.gateway, entry._replace(kind=EntryKind.DENY), key.incarnation)
            return
        bucket = bucket or self._create_bucket(entry)
        match entry.kind:
            case EntryKind.REQUEST | EntryKind.RETRY_REQUEST:
                self._on_lease_request(bucket, key, entry)
            case EntryKind.USED:
                self._on_units_used(bucket, key, entry)
            case EntryKind.RETURN:
                self._on_units_returned(bucket, key, entry)

    def on_timer(self, bucket_id: int) -> None:
        """Handle the expiry of a bucket's timer: serve the queue, if the bucket still exists."""
        if bucket_id in self.buckets:
            self.buckets[bucket_id].serve_at_ms = math.inf
            self.serve_queue(self.buckets[bucket_id])

    def serve_queue(self, bucket: LeaderBucket) -> None:
        """Grant queued lease requests until the first one that has to wait, and schedule the next service.

        The lease request with the greatest priority weight comes first. Among equal weights, the one that was
        received last comes first.
        """
        bucket.refill(self._turn.now_ms)
        bucket.remove_expired(self._turn.now_ms)
        bucket.queue.sort(key=lambda queued: (queued.priority_weight, queued.received_at_ms))
        while bucket.queue:
            first = bucket.queue[-1]
            wait_s = self._grant_wait_s(bucket, first)
            if wait_s > 0:
                self._schedule_service(bucket, wait_s)
                return
            bucket.queue.pop()
            self._record_grant(bucket, first.key, first.entry)
            bucket.ceiling_level -= first.entry.units
            self._send_reply(EntryKind.GRANT, first.key, first.entry, bucket)

    def _has_room(self) -> bool:
        """Return whether another bucket may be kept; if not, drop those that a new bucket can replace first.

        They are dropped at most once in each DROP_INTERVAL_MS.
        """
        now_ms = self._turn.now_ms
        if len(self.buckets) >= self._context.max_customers and now_ms >= self._next_drop_at_ms:
            self._next_drop_at_ms = now_ms + DROP_INTERVAL_MS
            self.drop_idle_buckets(retention_ms=0.0)
        return len(self.buckets) < self._context.max_customers

    def drop_idle_buckets(self, retention_ms: float = IDLE_RETENTION_MS) -> None:
        """Drop buckets without recent requests that a new bucket can replace.

        A bucket that is not full is kept: a new bucket would grant the missing units again.
        """
        now_ms = self._turn.now_ms
        for bucket_id, bucket in list(self.buckets.items()):
            is_idle = now_ms - bucket.refilled_at_ms > retention_ms
            if is_idle and bucket.is_replaceable(now_ms):
                del self.buckets[bucket_id]

    def _create_bucket(self, entry: QuotaEntry) -> LeaderBucket:
        """Add the bucket of an entry's customer and plan, with a full quota.

        Its ceiling level counts only units that an earlier process of this leader cannot have granted. Under
        a quota on the rate, the earlier process granted units of the quota only, and the quota fills no
        faster than the ceiling. At most the quota's burst can therefore be missing from the ceiling. Without
        a quota on the rate, all units that accrued before the gateway started may be missing.
        """
        plan = self._settings.plans[entry.plan_index]
        capacity = plan.ceiling_burst * LEADER_CEILING_FRACTION
        unspent = max(0.0, capacity - plan.burst) if plan.rate_per_s else 0.0
        accrued = initial_ceiling_level(self._turn.now_ms - self._role.started_at_ms, plan)
        ceiling_level = min(capacity, unspent + accrued * LEADER_CEILING_FRACTION)
        bucket = LeaderBucket(entry.bucket_id, plan, plan.burst, self._turn.now_ms, ceiling_level)
        self.buckets[bucket.id] = bucket
        return bucket

    def _on_lease_request(self, bucket: LeaderBucket, key: LeaseKey, entry: QuotaEntry) -> None:
        """Grant, queue or deny a lease request; repeat the grant if it has been granted already."""
        if key in bucket.grant_times_ms:  # the earlier reply was lost, or the request is a duplicate
            self._send_reply(EntryKind.GRANT, key, entry, bucket)
            return
        if bucket.is_queued(key):
            return
        bucket.demand += entry.units
        lease_request = self._new_lease_request(key, entry)
        bucket.queue.append(lease_request)
        self.serve_queue(bucket)
        if lease_request in bucket.queue:
            self._send_reply(EntryKind.QUEUED, key, entry, bucket)

    def _new_lease_request(self, key: LeaseKey, entry: QuotaEntry) -> LeaseRequest:
        request_class = self._settings.classes[entry.class_index]
        # A client sends a retry when most of its latency objective has passed, so the retry gets weight 0.
        weight = request_class.priority_weight if entry.kind is EntryKind.REQUEST else 0.0
        now_ms = self._turn.now_ms
        return LeaseRequest(key, entry, weight, now_ms, now_ms + max_wait_ms(request_class))

    def _on_units_used(self, bucket: LeaderBucket, key: LeaseKey, entry: QuotaEntry) -> None:
        """Draw the units of a request that its gateway has admitted without a grant."""
        if key in bucket.grant_times_ms:
            return
        if not bucket.is_queued(key):
            bucket.demand += entry.units
        bucket.remove_lease_request(key)
        self._record_grant(bucket, key, entry)

    def _on_units_returned(self, bucket: LeaderBucket, key: LeaseKey, entry: QuotaEntry) -> None:
        """Free the slot of a request, or put its units back into a quota without slots."""
        had_slot = bucket.slot_expiries_ms.pop(key, None) is not None
        if not had_slot and key in bucket.grant_times_ms and not bucket.plan.max_in_flight:
            bucket.quota_level = min(bucket.plan.burst, bucket.quota_level + entry.units)
        self.serve_queue(bucket)

    def _grant_wait_s(self, bucket: LeaderBucket, queued: LeaseRequest) -> float:
        """Return the seconds until a bucket can grant a lease request; 0 or less if it can do so now."""
        plan = bucket.plan
        units = queued.entry.units
        wait_s = 0.0
        if plan.rate_per_s:
            wait_s = (units + self._reserved_units(bucket, queued) - bucket.quota_level) / plan.rate_per_s
        if plan.ceiling_per_s:
            ceiling_per_s = plan.ceiling_per_s * LEADER_CEILING_FRACTION
            wait_s = max(wait_s, (units - bucket.ceiling_level) / ceiling_per_s)
        if plan.max_in_flight and len(bucket.slot_expiries_ms) >= plan.max_in_flight:
            wait_s = max(wait_s, (min(bucket.slot_expiries_ms.values()) - self._turn.now_ms) / 1000)
        return wait_s

    def _reserved_units(self, bucket: LeaderBucket, queued: LeaseRequest) -> float:
        """Return the units that have to stay in the bucket after a grant, for requests with more weight.

        The reserve is at most the burst minus the units of the request, so that a full bucket can serve any
        request.
        """
        burst = bucket.plan.burst
        relative_weight = queued.priority_weight / self._max_priority_weight
        reserve = MAX_RESERVED_BURST_FRACTION * burst * (1 - relative_weight)
        return max(0.0, min(reserve, burst - queued.entry.units))

    def _schedule_service(self, bucket: LeaderBucket, wait_s: float) -> None:
        """Schedule the next service of a queue whose first request has to wait for `wait_s` seconds.

        If a service is already scheduled for at most one control period after that time, no other is
        scheduled.
        """
        ready_at_ms = self._turn.now_ms + wait_s * 1000
        if bucket.plan.rate_per_s and not bucket.plan.max_in_flight:
            self._deny_unreachable_requests(bucket)
        is_scheduled = self._turn.now_ms < bucket.serve_at_ms <= ready_at_ms + CONTROL_PERIOD_MS
        if bucket.queue and not is_scheduled:
            bucket.serve_at_ms = ready_at_ms + self._settings.tick_ms
            self._schedule(bucket.serve_at_ms, TimerKind.SERVE_LEASE_QUEUE, bucket.id)

    def _deny_unreachable_requests(self, bucket: LeaderBucket) -> None:
        """Deny lease requests that would expire before their grant, so that their clients stop waiting."""
        units_ahead = 0.0
        reachable: list[LeaseRequest] = []
        for queued in reversed(bucket.queue):
            missing_units = (
                units_ahead + queued.entry.units + self._reserved_units(bucket, queued) - bucket.quota_level
            )
            wait_s = missing_units / bucket.plan.rate_per_s
            if self._turn.now_ms + wait_s * 1000 > queued.expires_at_ms:
                self._send_reply(EntryKind.DENY, queued.key, queued.entry, bucket)
            else:
                reachable.append(queued)
                units_ahead += queued.entry.units
        bucket.queue = reachable[::-1]

    def _record_grant(self, bucket: LeaderBucket, key: LeaseKey, entry: QuotaEntry) -> None:
        """Remember a grant and subtract its units from the quota.

        The quota's level may become negative, but not lower than minus its burst. Under a quota on requests
        in flight, the request also occupies a slot.
        """
        now_ms = self._turn.now_ms
        has_surplus_grants = len(bucket.grant_times_ms) > MIN_REMEMBERED_GRANTS
        if has_surplus_grants and now_ms - bucket.oldest_grant_at_ms() > GRANT_RETENTION_MS:
            bucket.forget_grants(now_ms, GRANT_RETENTION_MS)
        bucket.grant_times_ms[key] = now_ms
        bucket.quota_level = max(-bucket.plan.burst, bucket.quota_level - entry.units)
        if bucket.plan.max_in_flight:
            objective_ms = self._settings.classes[entry.class_index].latency_objective_ms
            bucket.slot_expiries_ms[key] = now_ms + SLOT_LIFETIME_OBJECTIVES * objective_ms

    def _send_reply(self, kind: EntryKind, key: LeaseKey, entry: QuotaEntry, bucket: LeaderBucket) -> None:
        reply = entry._replace(kind=kind, demand_per_s=demand_per_s(bucket.demand))
        self._send(key.gateway, reply, key.incarnation)
