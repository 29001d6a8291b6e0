"""The quota leader: the buckets of customers whose quota this gateway keeps, and who is granted from them."""

import math

from gateway.gossip.codec import EntryKind, QuotaEntry
from gateway.policy.context import PolicyComponent, PolicyContext
from gateway.policy.dispatch.fuzzy_share import PERIOD_MS
from gateway.policy.dispatch.latency import longest_wait_ms
from gateway.policy.quota import accounts as quota_accounts
from gateway.policy.quota.entry_sender import EntrySender
from gateway.policy.quota.leader_bucket import LeaderBucket, LeaseKey, LeaseRequest
from gateway.policy.timers import TimerKind

MAX_RESERVED_BURST_FRACTION = 0.8  # fraction of the burst withheld from requests with weight 0
SLOT_LIFETIME_OBJECTIVES = 1.5  # latency objectives after which a slot that was never returned expires
GRANT_MEMORY_MS = 5000.0  # time for which grants are remembered to detect duplicate requests
MIN_REMEMBERED_GRANTS = 64  # grants that are remembered regardless of their age


class QuotaLeader(PolicyComponent):
    """Lends units of customers' quotas to all gateways, to the highest weight first."""

    def __init__(self, context: PolicyContext, send: EntrySender) -> None:
        super().__init__(context)
        self._send = send
        self._top_weight = max(known.priority_weight for known in context.settings.classes) or 1.0
        self.buckets: dict[int, LeaderBucket] = {}

    def on_entry(self, key: LeaseKey, entry: QuotaEntry) -> None:
        """Take in what a gateway says of one request."""
        bucket = self.buckets.get(entry.bucket_name) or self._create(entry)
        match entry.kind:
            case EntryKind.REQUEST | EntryKind.RETRY_REQUEST:
                self._on_request(bucket, key, entry)
            case EntryKind.USED:
                self._on_used(bucket, key, entry)
            case EntryKind.RETURN:
                self._on_return(bucket, key, entry)

    def on_timer(self, name: int) -> None:
        """Look at a bucket's queue at the time that it had planned."""
        if name in self.buckets:
            self.buckets[name].serve_at_ms = math.inf
            self.serve(self.buckets[name])

    def serve(self, bucket: LeaderBucket) -> None:
        """Lend to those that wait, the highest weight first, of equal weight the newest."""
        bucket.refill(
            self._turn.now_ms, quota_accounts.LEADER_CEILING_FRACTION, quota_accounts.DEMAND_MEMORY_MS
        )
        bucket.drop_expired(self._turn.now_ms)
        bucket.queue.sort(key=lambda waiting: (waiting.priority_weight, waiting.received_at_ms))
        while bucket.queue:
            first = bucket.queue[-1]
            wait_s = self._wait_s(bucket, first)
            if wait_s > 0:
                self._wait(bucket, wait_s)
                return
            bucket.queue.pop()
            self._book(bucket, first.key, first.entry)
            bucket.ceiling_level -= first.entry.units
            self._reply(EntryKind.GRANT, first.key, first.entry, bucket)

    def forget(self) -> None:
        """Forget customers whose buckets are full again; they begin anew with no more than that."""
        for name, bucket in list(self.buckets.items()):
            is_old = self._turn.now_ms - bucket.refilled_at_ms > quota_accounts.IDLE_RETENTION_MS
            if is_old and bucket.is_full(self._turn.now_ms, quota_accounts.LEADER_CEILING_FRACTION):
                del self.buckets[name]

    def _create(self, entry: QuotaEntry) -> LeaderBucket:
        """Add a bucket, with what the leader's part of the ceiling surely holds.

        What was lent before this gateway started came from the quota's bucket, which fills no faster than the
        ceiling: all that can be lacking is that bucket's size.
        """
        plan = self._settings.plans[entry.plan_index]
        most = plan.ceiling_burst * quota_accounts.LEADER_CEILING_FRACTION
        sure = max(0.0, most - plan.burst) if plan.rate_per_s else 0.0
        untouched = quota_accounts.untouched_ceiling(self._turn.now_ms - self._role.started_at_ms, plan)
        ceiling_level = min(most, sure + untouched * quota_accounts.LEADER_CEILING_FRACTION)
        bucket = LeaderBucket(entry.bucket_name, plan, plan.burst, self._turn.now_ms, ceiling_level)
        self.buckets[bucket.name] = bucket
        return bucket

    def _on_request(self, bucket: LeaderBucket, key: LeaseKey, entry: QuotaEntry) -> None:
        if key in bucket.granted:  # the first reply was lost
            self._reply(EntryKind.GRANT, key, entry, bucket)
            return
        if bucket.has_queued(key):
            return
        bucket.demand += entry.units
        request_class = self._settings.classes[entry.class_index]
        # A client's retry, most of whose objective has passed, has no weight.
        weight = request_class.priority_weight if entry.kind is EntryKind.REQUEST else 0.0
        now_ms = self._turn.now_ms
        waiting = LeaseRequest(key, entry, weight, now_ms, now_ms + longest_wait_ms(request_class))
        bucket.queue.append(waiting)
        self.serve(bucket)
        if waiting in bucket.queue:
            self._reply(EntryKind.QUEUED, key, entry, bucket)

    def _on_used(self, bucket: LeaderBucket, key: LeaseKey, entry: QuotaEntry) -> None:
        if key in bucket.granted:
            return
        if not bucket.has_queued(key):
            bucket.demand += entry.units
        bucket.drop_queued(key)
        self._book(bucket, key, entry)

    def _on_return(self, bucket: LeaderBucket, key: LeaseKey, entry: QuotaEntry) -> None:
        had_slot = bucket.slots.pop(key, None) is not None
        if not had_slot and key in bucket.granted and not bucket.plan.max_in_flight:
            bucket.level = min(bucket.plan.burst, bucket.level + entry.units)
        self.serve(bucket)

    def _wait_s(self, bucket: LeaderBucket, waiting: LeaseRequest) -> float:
        """Return how long a bucket takes to have what a request needs; 0 or less where it has it."""
        plan = bucket.plan
        units = waiting.entry.units
        wait_s = 0.0
        if plan.rate_per_s:
            wait_s = (units + self._reserve(bucket, waiting) - bucket.level) / plan.rate_per_s
        if plan.ceiling_per_s:
            wait_s = max(
                wait_s,
                (units - bucket.ceiling_level)
                / (plan.ceiling_per_s * quota_accounts.LEADER_CEILING_FRACTION),
            )
        if plan.max_in_flight and len(bucket.slots) >= plan.max_in_flight:
            wait_s = max(wait_s, (min(bucket.slots.values()) - self._turn.now_ms) / 1000)
        return wait_s

    def _reserve(self, bucket: LeaderBucket, waiting: LeaseRequest) -> float:
        """Return what a request leaves for those with more weight; a full bucket serves anybody."""
        reserve = (
            MAX_RESERVED_BURST_FRACTION * bucket.plan.burst * (1 - waiting.priority_weight / self._top_weight)
        )
        return max(0.0, min(reserve, bucket.plan.burst - waiting.entry.units))

    def _wait(self, bucket: LeaderBucket, wait_s: float) -> None:
        """Let the queue wait for its head, and plan when to look at it again."""
        ready_at_ms = self._turn.now_ms + wait_s * 1000
        if bucket.plan.rate_per_s and not bucket.plan.max_in_flight:
            self._deny_hopeless(bucket)
        is_planned = self._turn.now_ms < bucket.serve_at_ms <= ready_at_ms + PERIOD_MS
        if bucket.queue and not is_planned:
            bucket.serve_at_ms = ready_at_ms + self._settings.tick_ms
            self._schedule(bucket.serve_at_ms, TimerKind.LEADER_SERVE, bucket.name)

    def _deny_hopeless(self, bucket: LeaderBucket) -> None:
        """Deny at once who can't have its turn in time: it would wait for nothing, on a connection."""
        units_ahead = 0.0
        kept: list[LeaseRequest] = []
        for waiting in reversed(bucket.queue):
            lack = units_ahead + waiting.entry.units + self._reserve(bucket, waiting) - bucket.level
            wait_s = lack / bucket.plan.rate_per_s
            if self._turn.now_ms + wait_s * 1000 > waiting.expires_at_ms:
                self._reply(EntryKind.DENY, waiting.key, waiting.entry, bucket)
            else:
                kept.append(waiting)
                units_ahead += waiting.entry.units
        bucket.queue = kept[::-1]

    def _book(self, bucket: LeaderBucket, key: LeaseKey, entry: QuotaEntry) -> None:
        """Take a request's units out of the quota, and a slot where the plan has such a quota."""
        if (
            len(bucket.granted) > MIN_REMEMBERED_GRANTS
            and self._turn.now_ms - bucket.oldest_grant_ms() > GRANT_MEMORY_MS
        ):
            bucket.forget_granted(self._turn.now_ms, GRANT_MEMORY_MS)
        bucket.granted[key] = self._turn.now_ms
        bucket.level = max(-bucket.plan.burst, bucket.level - entry.units)
        if bucket.plan.max_in_flight:
            objective_ms = self._settings.classes[entry.class_index].latency_objective_ms
            bucket.slots[key] = self._turn.now_ms + SLOT_LIFETIME_OBJECTIVES * objective_ms

    def _reply(self, kind: EntryKind, key: LeaseKey, entry: QuotaEntry, bucket: LeaderBucket) -> None:
        reply = entry._replace(kind=kind, demand_per_s=quota_accounts.per_second(bucket.demand))
        self._send(key.gateway, reply, key.incarnation)
