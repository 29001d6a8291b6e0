"""What one process of a gateway leaves to the next: the rules see one gateway, whatever process it is.

Passed on is what was spent, what is owed to peers, and what is known of servers. A request that is open stays
with the process that took it, and asks the next one where its own gateway is the customer's home."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

from gateway.gossip.codec import EntryKind, QuotaEntry
from gateway.model.records import Ask, Store

if TYPE_CHECKING:
    from gateway.policy.controller import Controller
    from gateway.policy.endpoints import Servers
    from gateway.policy.quota import Quota

HALF_CIRCLE = 0x8000  # serials of the two processes are so far apart: answers are known by them
WINDOW = ("peak", "cut", "room", "fleet_room")


def leave(controller: Controller, now: float) -> dict[str, Any]:
    """All that the next process goes on with. From now on this one grants nothing and draws nothing."""
    quota, servers = controller.quota, controller.servers
    plans = quota.settings.plans
    state = {
        "now": now,
        "boot": quota.boot,
        "serial": quota.serial,
        "began": quota.began_ms,
        "rtt": quota.rtt_ms,
        "accounts": [
            [
                list(name),
                account.at_ms,
                account.own,
                account.ceiling,
                account.asked,
                account.total,
                account.total_ms,
            ]
            for name, account in quota.accounts.items()
        ],
        "stores": [
            [
                name,
                plans.index(store.plan),
                store.level,
                store.at_ms,
                store.ceiling,
                store.asked,
                [
                    [ask.key, ask.item, ask.priority_weight, ask.came_ms, ask.expires_at_ms]
                    for ask in store.queue
                ],
                list(store.leases.items()),
                list(store.done.items()),
            ]
            for name, store in quota.stores.items()
        ],
        "servers": [
            [
                name,
                known.entry.started_ms,
                known.slow,
                known.seen,
                known.bad,
                known.seen_ms,
                known.others,
                known.report_ms,
            ]
            for name, known in servers.known.items()
        ],
        "reference": servers.reference,
        "sends": servers.sends,
        "budget": controller.budget,
        "window": {name: getattr(controller.window, name) for name in WINDOW},
        "shares": {name: share.share for name, share in controller.shares.items()},
        "usual": controller.usual,
    }
    quota.succeeded = quota.shared = True
    empty(quota, now)
    return state


def empty(quota: Quota, now: float) -> None:
    """Nothing is left here to grant or to draw."""
    quota.stores.clear()
    for account in quota.accounts.values():
        account.own = account.ceiling = 0.0
        account.at_ms = now


def resume(controller: Controller, now: float) -> None:
    """The next process has gone, and what it spent is not known: go on as after a restart."""
    quota = controller.quota
    quota.succeeded = quota.shared = False
    quota.began_ms = now
    empty(quota, now)


def alone(controller: Controller) -> None:
    """The process before has ended."""
    controller.quota.shared = False


def take_over(controller: Controller, now: float, state: dict[str, Any]) -> None:
    """Go on with what the process before has left."""
    quota, shift = controller.quota, now - state["now"]  # the two clocks may have been set apart
    quota.shared = True
    quota.boot = (int(state["boot"]) + 1) & 0xFFFF  # never the same, whatever the seeds
    quota.serial = (int(state["serial"]) + HALF_CIRCLE) % 0xFFFF
    quota.began_ms, quota.rtt_ms = state["began"] + shift, float(state["rtt"])
    plans = {plan.name: plan for plan in quota.settings.plans}
    for (customer, plan, spread, first), at_ms, own, ceiling, asked, total, total_ms in state["accounts"]:
        if plan in plans:
            name = customer, plan, spread, first
            account = quota.accounts[name] = quota.new_account(now, name, plans[plan])
            account.at_ms, account.own, account.ceiling = at_ms + shift, own, ceiling
            account.asked, account.total, account.total_ms = asked, total, total_ms + shift
    for name, index, level, at_ms, ceiling, asked, queue, leases, done in state["stores"]:
        if index < len(quota.settings.plans):
            plan = quota.settings.plans[index]
            store = quota.stores[name] = Store(plan, level, at_ms + shift, ceiling, asked)
            store.queue = [
                Ask(
                    key_from(key),
                    QuotaEntry(EntryKind(item[0]), *item[1:]),
                    worth,
                    came_ms + shift,
                    until_ms + shift,
                )
                for key, item, worth, came_ms, until_ms in queue
            ]
            store.leases = {key_from(key): until + shift for key, until in leases}
            store.done = {key_from(key): ms + shift for key, ms in done}
            quota.serve(now, name)  # sets its wake-up anew
    take_servers(controller.servers, state, shift)
    for name in WINDOW:
        setattr(controller.window, name, float(state["window"][name]))
    controller.window.set_limit(controller.servers.capacity)
    controller.budget = float(state["budget"])
    for name, share in state["shares"].items():
        if name in controller.shares:
            controller.shares[name].share, controller.usual[name] = share, state["usual"][name]


def take_servers(servers: Servers, state: dict[str, Any], shift: float) -> None:
    """What is known of servers that still run as the process before knew them."""
    for name, started_ms, slow, seen, bad, seen_ms, others, report_ms in state["servers"]:
        known = servers.known.get(name)
        if known is not None and known.entry.started_ms == started_ms:
            known.slow, known.seen, known.bad, known.others = slow, dict(seen), dict(bad), others
            known.seen_ms = seen_ms + shift
            known.report_ms = report_ms + shift if math.isfinite(report_ms) else report_ms
    servers.reference, servers.sends = max(servers.reference, state["reference"]), float(state["sends"])


def key_from(key: list[int]) -> tuple[int, int, int]:
    """A try's name at its home."""
    gateway, boot, serial = key
    return gateway, boot, serial
