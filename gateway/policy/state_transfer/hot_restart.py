"""What one process of a gateway hands to the next: the rules see one gateway, whatever process it is.

Passed on is what was spent, what is owed to other gateways, and what is known of endpoints. A request that is
open stays with the process that took it, and asks the next one where its gateway is the customer's leader.
"""

from gateway.policy.context import INCARNATIONS
from gateway.policy.controller import Controller
from gateway.policy.quota.leader_bucket import LeaderBucket
from gateway.policy.quota.lease_table import MAX_LEASE_ID
from gateway.policy.state_transfer.gateway_state import (
    AccountState,
    BucketState,
    EndpointObservations,
    GatewayState,
    LimiterState,
)

LEASE_ID_DISTANCE = 0x8000  # distance between the lease ids of predecessor and successor


def export_state(controller: Controller, now_ms: float) -> GatewayState:
    """Return all that the next process goes on with; from now on this one grants and draws nothing."""
    flow = controller.flow
    plans = controller.settings.plans
    state = GatewayState(
        exported_at_ms=now_ms,
        incarnation=controller.context.role.incarnation,
        last_lease_id=flow.lease_client.leases.last_id,
        started_at_ms=controller.context.role.started_at_ms,
        lease_reply_ms=flow.lease_client.reply_ms,
        accounts=tuple(
            AccountState.of(key, account) for key, account in flow.lease_client.accounts.by_key.items()
        ),
        buckets=tuple(
            BucketState.of(name, plans.index(bucket.plan), bucket)
            for name, bucket in flow.leader.buckets.items()
        ),
        endpoints=tuple(map(EndpointObservations.of, controller.directory.table.known.values())),
        reference_capacity=controller.directory.reference_capacity,
        recent_sends=controller.selector.recent_sends,
        retry_budget=flow.attempts.retry_budget,
        limiter=LimiterState(
            flow.attempts.limiter.peak,
            flow.attempts.limiter.cut,
            flow.attempts.limiter.target,
            flow.attempts.limiter.peer_target,
        ),
        shares={name: share.share for name, share in flow.dispatcher.shares.items()},
        expected_latencies_ms=dict(flow.attempts.latencies.expected_ms),
    )
    controller.context.role.is_retired = True
    controller.context.role.has_sibling = True
    _empty(controller, now_ms)
    return state


def resume(controller: Controller, now_ms: float) -> None:
    """Go on as after a restart: the next process has ended, and what it spent is not known."""
    role = controller.context.role
    role.is_retired = False
    role.has_sibling = False
    role.started_at_ms = now_ms
    _empty(controller, now_ms)


def on_predecessor_ended(controller: Controller) -> None:
    """Take note that the process before has ended."""
    controller.context.role.has_sibling = False


def take_over(controller: Controller, now_ms: float, state: GatewayState) -> None:
    """Go on with what the process before has left."""
    shift_ms = now_ms - state.exported_at_ms  # the two clocks may have been set apart
    role = controller.context.role
    role.has_sibling = True
    role.started_at_ms = state.started_at_ms + shift_ms
    role.incarnation = (state.incarnation + 1) % INCARNATIONS  # never the same, whatever the seeds
    lease_client = controller.flow.lease_client
    lease_client.leases.last_id = (state.last_lease_id + LEASE_ID_DISTANCE) % MAX_LEASE_ID
    lease_client.reply_ms = state.lease_reply_ms
    controller.context.turn.now_ms = now_ms
    _restore_accounts(controller, state, shift_ms)
    _restore_buckets(controller, state, shift_ms)
    _restore_endpoints(controller, state, shift_ms)
    _restore_request_flow(controller, state)


def _empty(controller: Controller, now_ms: float) -> None:
    """Leave nothing here to grant or to draw on."""
    controller.flow.leader.buckets.clear()
    for account in controller.flow.lease_client.accounts.by_key.values():
        account.quota_level = 0.0
        account.ceiling_level = 0.0
        account.refilled_at_ms = now_ms


def _restore_accounts(controller: Controller, state: GatewayState, shift_ms: float) -> None:
    accounts = controller.flow.lease_client.accounts
    plans = {plan.name: plan for plan in controller.settings.plans}
    for saved in state.accounts:
        if saved.key.plan in plans:
            account = accounts.create(saved.key, plans[saved.key.plan])
            saved.restore(account, shift_ms)
            accounts.by_key[saved.key] = account


def _restore_buckets(controller: Controller, state: GatewayState, shift_ms: float) -> None:
    leader = controller.flow.leader
    plans = controller.settings.plans
    for saved in state.buckets:
        if saved.plan_index < len(plans):
            bucket = LeaderBucket(saved.name, plans[saved.plan_index], saved.level, saved.refilled_at_ms)
            saved.restore(bucket, shift_ms)
            leader.buckets[saved.name] = bucket
            leader.serve(bucket)  # plans its next look at the queue


def _restore_endpoints(controller: Controller, state: GatewayState, shift_ms: float) -> None:
    """Take over what is known of those endpoints that still run as the process before knew them."""
    directory = controller.directory
    for saved in state.endpoints:
        known = directory.table.known.get(saved.id)
        if known is not None and known.entry.started_ms == saved.started_ms:
            saved.restore(known, shift_ms)
    directory.reference_capacity = max(directory.reference_capacity, state.reference_capacity)
    controller.selector.recent_sends = state.recent_sends


def _restore_request_flow(controller: Controller, state: GatewayState) -> None:
    flow = controller.flow
    flow.attempts.limiter.peak = state.limiter.peak
    flow.attempts.limiter.cut = state.limiter.cut
    flow.attempts.limiter.target = state.limiter.target
    flow.attempts.limiter.peer_target = state.limiter.peer_target
    flow.attempts.limiter.update_limit(controller.directory.capacity)
    flow.attempts.retry_budget = state.retry_budget
    for name, share in state.shares.items():
        if name in flow.dispatcher.shares:
            flow.dispatcher.shares[name].share = share
            flow.attempts.latencies.expected_ms[name] = state.expected_latencies_ms[name]
