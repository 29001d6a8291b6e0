"""The quota leader: the buckets of the customers that this gateway leads, and their leases."""

import math

from gateway.gossip.codec import EntryKind, QuotaEntry
from gateway.policy.context import CONTROL_PERIOD_MS, PolicyComponent, PolicyContext
from gateway.policy.dispatch.latency import max_wait_ms
from gateway.policy.quota.accounts import IDLE_RETENTION_MS
from gateway.policy.quota.ceiling import LEADER_CEILING_FRACTION, initial_ceiling_level
from gateway.policy.quota.demand import demand_per_s
from gateway.policy.quota.entry_sender import EntrySender
from gateway.policy.quota.leader_bucket import LeaderBucket, LeaseKey, LeaseRequest
from gateway.policy.timers import TimerKind

MAX_RESERVED_BURST_FRACTION = 0.8  # fraction of the burst withheld from requests with weight 0
SLOT_LIFETIME_OBJECTIVES = 1.5  # latency objectives after which a slot that was never returned expires
GRANT_MEMORY_MS = 5000.0  # time for which grants are remembered to detect duplicate requests
MIN_REMEMBERED_GRANTS = 64  # grants that are remembered regardless of their age


class QuotaLeader(PolicyComponent):
    """Leases units of customers' quotas to all gateways, to the highest priority weight first."""

    def __init__(self, context: PolicyContext, send: EntrySender) -> None:
        super().__init__(context)
        self._send = send
        weights = [request_class.priority_weight for request_class in context.settings.classes]
        self._max_priority_weight = max(weights) or 1.0
        self.buckets: dict[int, LeaderBucket] = {}

    def on_entry(self, key: LeaseKey, entry: QuotaEntry) -> None:
        """Handle an entry that a gateway has sent about one of its requests."""
        bucket = self.buckets.get(entry.bucket_name) or self._create(entry)
        match entry.kind:
            case EntryKind.REQUEST | EntryKind.RETRY_REQUEST:
                self._on_request(bucket, key, entry)
            case EntryKind.USED:
                self._on_used(bucket, key, entry)
            case EntryKind.RETURN:
                self._on_return(bucket, key, entry)

    def on_timer(self, name: int) -> None:
        """Serve the queue of a bucket at the time that was scheduled."""
        if name in self.buckets:
            self.buckets[name].serve_at_ms = math.inf
            self.serve(self.buckets[name])

    def serve(self, bucket: LeaderBucket) -> None:
        """Grant queued lease requests: the highest weight first, the newest first among equal weights."""
        bucket.refill(self._turn.now_ms)
        bucket.drop_expired(self._turn.now_ms)
        bucket.queue.sort(key=lambda queued: (queued.priority_weight, queued.received_at_ms))
        while bucket.queue:
            first = bucket.queue[-1]
            wait_s = self._wait_s(bucket, first)
            if wait_s > 0:
                self._serve_later(bucket, wait_s)
                return
            bucket.queue.pop()
            self._record_grant(bucket, first.key, first.entry)
            bucket.ceiling_level -= first.entry.units
            self._reply(EntryKind.GRANT, first.key, first.entry, bucket)

    def drop_idle_buckets(self) -> None:
        """Drop buckets that new ones would replace without granting a quota twice."""
        now_ms = self._turn.now_ms
        for name, bucket in list(self.buckets.items()):
            is_old = now_ms - bucket.refilled_at_ms > IDLE_RETENTION_MS
            if is_old and bucket.is_replaceable(now_ms):
                del self.buckets[name]

    def _create(self, entry: QuotaEntry) -> LeaderBucket:
        """Add a bucket, whose ceiling holds the units that cannot have been used yet.

        Units that an earlier leader granted came from the quota's bucket, which fills no faster than the
        ceiling. At most that bucket's burst can therefore be missing from the ceiling.
        """
        plan = self._settings.plans[entry.plan_index]
        capacity = plan.ceiling_burst * LEADER_CEILING_FRACTION
        guaranteed = max(0.0, capacity - plan.burst) if plan.rate_per_s else 0.0
        filled = initial_ceiling_level(self._turn.now_ms - self._role.started_at_ms, plan)
        ceiling_level = min(capacity, guaranteed + filled * LEADER_CEILING_FRACTION)
        bucket = LeaderBucket(entry.bucket_name, plan, plan.burst, self._turn.now_ms, ceiling_level)
        self.buckets[bucket.name] = bucket
        return bucket

    def _on_request(self, bucket: LeaderBucket, key: LeaseKey, entry: QuotaEntry) -> None:
        if key in bucket.granted:  # the first reply was lost
            self._reply(EntryKind.GRANT, key, entry, bucket)
            return
        if bucket.is_queued(key):
            return
        bucket.demand += entry.units
        lease_request = self._lease_request(key, entry)
        bucket.queue.append(lease_request)
        self.serve(bucket)
        if lease_request in bucket.queue:
            self._reply(EntryKind.QUEUED, key, entry, bucket)

    def _lease_request(self, key: LeaseKey, entry: QuotaEntry) -> LeaseRequest:
        request_class = self._settings.classes[entry.class_index]
        # Most of the objective of a client's retry has passed already, so it has no weight.
        weight = request_class.priority_weight if entry.kind is EntryKind.REQUEST else 0.0
        now_ms = self._turn.now_ms
        return LeaseRequest(key, entry, weight, now_ms, now_ms + max_wait_ms(request_class))

    def _on_used(self, bucket: LeaderBucket, key: LeaseKey, entry: QuotaEntry) -> None:
        if key in bucket.granted:
            return
        if not bucket.is_queued(key):
            bucket.demand += entry.units
        bucket.drop_queued(key)
        self._record_grant(bucket, key, entry)

    def _on_return(self, bucket: LeaderBucket, key: LeaseKey, entry: QuotaEntry) -> None:
        had_slot = bucket.slots.pop(key, None) is not None
        if not had_slot and key in bucket.granted and not bucket.plan.max_in_flight:
            bucket.level = min(bucket.plan.burst, bucket.level + entry.units)
        self.serve(bucket)

    def _wait_s(self, bucket: LeaderBucket, queued: LeaseRequest) -> float:
        """Return the time until a bucket can grant a lease request; 0 or less where it can do so now."""
        plan = bucket.plan
        units = queued.entry.units
        wait_s = 0.0
        if plan.rate_per_s:
            wait_s = (units + self._reserve(bucket, queued) - bucket.level) / plan.rate_per_s
        if plan.ceiling_per_s:
            ceiling_per_s = plan.ceiling_per_s * LEADER_CEILING_FRACTION
            wait_s = max(wait_s, (units - bucket.ceiling_level) / ceiling_per_s)
        if plan.max_in_flight and len(bucket.slots) >= plan.max_in_flight:
            wait_s = max(wait_s, (min(bucket.slots.values()) - self._turn.now_ms) / 1000)
        return wait_s

    def _reserve(self, bucket: LeaderBucket, queued: LeaseRequest) -> float:
        """Return the units that stay in the bucket for requests with more weight; none in a full bucket."""
        burst = bucket.plan.burst
        relative_weight = queued.priority_weight / self._max_priority_weight
        reserve = MAX_RESERVED_BURST_FRACTION * burst * (1 - relative_weight)
        return max(0.0, min(reserve, burst - queued.entry.units))

    def _serve_later(self, bucket: LeaderBucket, wait_s: float) -> None:
        """Schedule the next service of a queue whose head has to wait."""
        ready_at_ms = self._turn.now_ms + wait_s * 1000
        if bucket.plan.rate_per_s and not bucket.plan.max_in_flight:
            self._deny_unreachable(bucket)
        is_scheduled = self._turn.now_ms < bucket.serve_at_ms <= ready_at_ms + CONTROL_PERIOD_MS
        if bucket.queue and not is_scheduled:
            bucket.serve_at_ms = ready_at_ms + self._settings.tick_ms
            self._schedule(bucket.serve_at_ms, TimerKind.LEADER_SERVE, bucket.name)

    def _deny_unreachable(self, bucket: LeaderBucket) -> None:
        """Deny lease requests that would expire before their turn, so that their clients stop waiting."""
        units_ahead = 0.0
        reachable: list[LeaseRequest] = []
        for queued in reversed(bucket.queue):
            missing = units_ahead + queued.entry.units + self._reserve(bucket, queued) - bucket.level
            wait_s = missing / bucket.plan.rate_per_s
            if self._turn.now_ms + wait_s * 1000 > queued.expires_at_ms:
                self._reply(EntryKind.DENY, queued.key, queued.entry, bucket)
            else:
                reachable.append(queued)
                units_ahead += queued.entry.units
        bucket.queue = reachable[::-1]

    def _record_grant(self, bucket: LeaderBucket, key: LeaseKey, entry: QuotaEntry) -> None:
        """Subtract a request's units from the quota; under a quota in flight, the request occupies a slot."""
        now_ms = self._turn.now_ms
        has_many = len(bucket.granted) > MIN_REMEMBERED_GRANTS
        if has_many and now_ms - bucket.oldest_grant_ms() > GRANT_MEMORY_MS:
            bucket.drop_grants(now_ms, GRANT_MEMORY_MS)
        bucket.granted[key] = now_ms
        bucket.level = max(-bucket.plan.burst, bucket.level - entry.units)
        if bucket.plan.max_in_flight:
            objective_ms = self._settings.classes[entry.class_index].latency_objective_ms
            bucket.slots[key] = now_ms + SLOT_LIFETIME_OBJECTIVES * objective_ms

    def _reply(self, kind: EntryKind, key: LeaseKey, entry: QuotaEntry, bucket: LeaderBucket) -> None:
        reply = entry._replace(kind=kind, demand_per_s=demand_per_s(bucket.demand))
        self._send(key.gateway, reply, key.incarnation)
