"""The transfer of a gateway's state between its processes during a hot restart.

The predecessor exports the state that its successor needs to continue as the same gateway: the levels of
accounts and buckets, from which spent units are missing, the leases of other gateways, and the estimates of
the endpoints. Open requests stay with the predecessor. For customers whose leader is this gateway, the
predecessor sends its lease requests to the successor.
"""

from gateway.policy.context import INCARNATION_COUNT
from gateway.policy.controller import Controller
from gateway.policy.quota.leader_bucket import LeaderBucket
from gateway.policy.quota.lease_table import MAX_LEASE_ID
from gateway.policy.state_transfer.gateway_state import GatewayState
from gateway.policy.state_transfer.snapshots import (
    AccountSnapshot,
    BucketSnapshot,
    EndpointSnapshot,
    LimiterSnapshot,
)

# Offset from the predecessor's last lease id to that of its successor, which is half of all lease ids. Other
# gateways address their replies to both processes by the same gateway number, so the processes must not use
# the same lease ids at the same time.
LEASE_ID_DISTANCE = 0x8000


def export_state(controller: Controller, now_ms: float) -> GatewayState:
    """Return the state for the successor, and retire this process.

    A retired process grants no leases and admits no requests from local buckets; its buckets are emptied.
    """
    role = controller.context.role
    flow = controller.flow
    state = GatewayState(
        exported_at_ms=now_ms,
        incarnation=role.incarnation,
        last_lease_id=flow.lease_client.leases.last_lease_id,
        started_at_ms=role.started_at_ms,
        expected_reply_ms=flow.lease_client.expected_reply_ms,
        accounts=_account_snapshots(controller),
        buckets=_bucket_snapshots(controller),
        endpoints=[EndpointSnapshot.of(endpoint) for endpoint in controller.directory.table.by_id.values()],
        reference_capacity=controller.directory.reference_capacity,
        recent_sends=controller.selector.recent_sends,
        retry_budget=flow.attempts.retry_budget,
        limiter=LimiterSnapshot.of(flow.attempts.limiter),
        shares={class_name: share.share for class_name, share in flow.dispatcher.shares.items()},
        expected_latencies_ms=dict(flow.attempts.latencies.expected_ms),
    )
    role.is_retired = True
    role.has_sibling = True
    _empty_buckets(controller, now_ms)
    return state


def restore_state(controller: Controller, now_ms: float, state: GatewayState) -> None:
    """Continue with the predecessor's state.

    The processes may use different clocks: all times in the state are shifted by the difference between
    `now_ms` and the time of the export.
    """
    shift_ms = now_ms - state.exported_at_ms
    role = controller.context.role
    role.has_sibling = True
    role.started_at_ms = state.started_at_ms + shift_ms
    # This incarnation differs from the predecessor's for any seed.
    role.incarnation = (state.incarnation + 1) % INCARNATION_COUNT
    lease_client = controller.flow.lease_client
    lease_client.leases.last_lease_id = (state.last_lease_id + LEASE_ID_DISTANCE) % MAX_LEASE_ID
    lease_client.expected_reply_ms = state.expected_reply_ms
    controller.context.turn.now_ms = now_ms
    _restore_accounts(controller, state.accounts, shift_ms)
    _restore_buckets(controller, state.buckets, shift_ms)
    _restore_endpoints(controller, state, shift_ms)
    _restore_request_flow(controller, state)


def end_retirement(controller: Controller, now_ms: float) -> None:
    """End the retirement of this process after its successor has ended.

    All buckets start empty, as after a restart, because the successor may have used their units.
    """
    role = controller.context.role
    role.is_retired = False
    role.has_sibling = False
    role.started_at_ms = now_ms
    _empty_buckets(controller, now_ms)


def on_predecessor_ended(controller: Controller) -> None:
    """Record that the predecessor has ended, which makes this the gateway's only process."""
    controller.context.role.has_sibling = False


def _empty_buckets(controller: Controller, now_ms: float) -> None:
    """Drop the leader's buckets, and remove all units from the local buckets and ceilings."""
    controller.flow.leader.buckets.clear()
    for account in controller.flow.lease_client.accounts.by_key.values():
        account.quota_level = 0.0
        account.ceiling_level = 0.0
        account.refilled_at_ms = now_ms


def _account_snapshots(controller: Controller) -> list[AccountSnapshot]:
    accounts = controller.flow.lease_client.accounts.by_key
    return [AccountSnapshot.of(key, account) for key, account in accounts.items()]


def _bucket_snapshots(controller: Controller) -> list[BucketSnapshot]:
    plans = controller.settings.plans
    buckets = controller.flow.leader.buckets
    return [
        BucketSnapshot.of(bucket_id, plans.index(bucket.plan), bucket)
        for bucket_id, bucket in buckets.items()
    ]


def _restore_accounts(controller: Controller, snapshots: list[AccountSnapshot], shift_ms: float) -> None:
    """Restore the accounts whose plans this process knows."""
    accounts = controller.flow.lease_client.accounts
    plans = {plan.name: plan for plan in controller.settings.plans}
    for snapshot in snapshots:
        if snapshot.key.plan in plans:
            account = accounts.new_account(snapshot.key, plans[snapshot.key.plan])
            snapshot.restore(account, shift_ms)
            accounts.by_key[snapshot.key] = account


def _restore_buckets(controller: Controller, snapshots: list[BucketSnapshot], shift_ms: float) -> None:
    """Restore the buckets whose plans this process knows, and serve their queues, which schedules timers."""
    leader = controller.flow.leader
    plans = controller.settings.plans
    for snapshot in snapshots:
        if snapshot.plan_index < len(plans):
            plan = plans[snapshot.plan_index]
            bucket = LeaderBucket(snapshot.bucket_id, plan, snapshot.quota_level, snapshot.refilled_at_ms)
            snapshot.restore(bucket, shift_ms)
            leader.buckets[snapshot.bucket_id] = bucket
            leader.serve_queue(bucket)


def _restore_endpoints(controller: Controller, state: GatewayState, shift_ms: float) -> None:
    """Restore the estimates of listed endpoints, unless an endpoint has restarted since its snapshot."""
    directory = controller.directory
    for snapshot in state.endpoints:
        endpoint = directory.table.by_id.get(snapshot.id)
        if endpoint is not None and endpoint.entry.started_at_ms == snapshot.started_at_ms:
            snapshot.restore(endpoint, shift_ms)
    directory.reference_capacity = max(directory.reference_capacity, state.reference_capacity)
    controller.selector.recent_sends = state.recent_sends


def _restore_request_flow(controller: Controller, state: GatewayState) -> None:
    """Restore the limiter and the retry budget, and the estimates of the classes that this process knows."""
    flow = controller.flow
    state.limiter.restore(flow.attempts.limiter)
    flow.attempts.limiter.update_limit(controller.directory.capacity)
    flow.attempts.retry_budget = state.retry_budget
    for class_name, share in state.shares.items():
        if class_name in flow.dispatcher.shares:
            flow.dispatcher.shares[class_name].share = share
            flow.attempts.latencies.expected_ms[class_name] = state.expected_latencies_ms[class_name]
