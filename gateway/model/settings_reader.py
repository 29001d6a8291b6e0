"""The settings: how the object that a gateway is told at its start becomes the module's types.

Shared by the simulator's adapter and the gatekeeper. Nothing here decides anything.
"""

from __future__ import annotations

import math
from typing import Any

from gateway.errors import SettingsError
from gateway.model.settings import Idempotency, KeyScope, Plan, RequestClass, Settings

_REPEATS = {
    "retryable": Idempotency.IDEMPOTENT,
    "dedup": Idempotency.WITH_KEY,
    "fragile": Idempotency.NON_IDEMPOTENT,
}


class Table:
    """A JSON object of a configuration, which names the key that is missing or wrong."""

    def __init__(self, value: Any, path: str) -> None:
        if not isinstance(value, dict):
            raise SettingsError(path, "an object is due")
        self.value, self.path = value, path

    def _get(self, key: str, kinds: tuple[type, ...], fallback: Any) -> Any:
        value = self.value.get(key, fallback)
        if value is None:
            raise SettingsError(f"{self.path}.{key}", "it is missing")
        if not isinstance(value, kinds) or (isinstance(value, bool) and bool not in kinds):
            raise SettingsError(f"{self.path}.{key}", f"cannot read {value!r}")
        return value

    def number(self, key: str, fallback: float | None = None) -> float:
        try:
            value = float(self._get(key, (int, float), fallback))
        except OverflowError:  # JSON knows whole numbers of any length
            value = math.inf
        if not math.isfinite(value):
            raise SettingsError(f"{self.path}.{key}", f"cannot read {value!r}")
        return value

    def text(self, key: str, fallback: str | None = None) -> str:
        return str(self._get(key, (str,), fallback))

    def flag(self, key: str, fallback: bool | None = None) -> bool:
        return bool(self._get(key, (bool, int), fallback))

    def table(self, key: str, fallback: dict[str, Any] | None = None) -> Table:
        return Table(self._get(key, (dict,), fallback), f"{self.path}.{key}")

    def items(self, key: str) -> list[Any]:
        return list(self._get(key, (list,), None))

    def rows(self, key: str) -> list[Table]:
        return [Table(row, f"{self.path}.{key}[{n}]") for n, row in enumerate(self.items(key))]

    def words(self, key: str) -> tuple[str, ...]:
        return tuple(str(word) for word in self._get(key, (list,), []))


def _request_class(row: Table) -> RequestClass:
    repeat = row.text("repeat")
    if repeat not in _REPEATS:
        raise SettingsError(f"{row.path}.repeat", f"{repeat!r} is no kind of repeat")
    scope = row.text("keyScope", "all")
    if scope not in ("all", "zone", "cell"):
        raise SettingsError(f"{row.path}.keyScope", f"{scope!r} is no group")
    return RequestClass(
        name=row.text("name"),
        latency_objective_ms=row.number("aimMs"),
        deadline_ms=row.number("deadlineMs"),
        priority_weight=row.number("worth", 1.0),
        idempotency=_REPEATS[repeat],
        late_weight=row.number("lateWorth", 0.0),
        key_scope=KeyScope(scope),
        deduplication_window_ms=row.number("dedupWindowMs", 0.0),
        streamed=row.flag("streamed", False),
        objective_stretch=row.number("aimStretch", 0.0),
    )


def _plan(row: Table) -> Plan:
    return Plan(
        name=row.text("name"),
        rate_per_s=row.number("perSecond", 0.0),
        burst=row.number("storeSize", 0.0),
        max_in_flight=int(row.number("concurrency", 0.0)),
        weight_factor=row.number("valueFactor", 1.0),
        overage_weight=row.number("overWorth", 0.0),
        overage_cost=row.number("overrunCost", 0.0),
        ceiling_per_s=row.number("hardRate", 0.0),
        ceiling_burst=row.number("hardBurst", 0.0),
        ceiling_slack=row.number("capSlack", 0.0),
    )


def settings_from(value: Any, path: str = "info") -> Settings:
    """The settings in an object of JSON; keys that are not known are skipped."""
    top = Table(value, path)
    rules, limits = top.table("rules"), top.table("limits")
    domain, report = top.table("domain", {}), top.table("report", {})
    prices = top.table("penalties", {})
    return Settings(
        gateways=int(top.number("balancers")),
        number=int(top.number("myNumber")),
        zone=top.text("locality", ""),
        classes=tuple(_request_class(row) for row in top.rows("classes")),
        plans=tuple(_plan(row) for row in top.rows("packages")),
        slow_start_ms=rules.number("warmUpMs"),
        slow_start_floor=rules.number("coldFrom"),
        overload_multiple=rules.number("fallMultiple"),
        overload_window_ms=rules.number("tipAfterMs"),
        poll_within_ms=rules.number("askWithinMs", 10_000.0),
        drain_grace_ms=rules.number("drainGraceMs", 1000.0),
        max_attempts=int(limits.number("maxAttempts")),
        tick_ms=top.number("tickMs", 1.0),
        max_units=domain.number("maxUnits", 1.0),
        may_cancel=limits.flag("cancel", False),
        may_gossip=limits.flag("mayTell", False),
        may_check_health=limits.flag("probing", False),
        may_hedge=limits.flag("secondCopies", False),
        must_subscribe=top.text("discovery", "automatic") == "subscribe",
        post_paid=domain.flag("postPaid", False),
        max_retry_after_ms=limits.number("maxRetryAfterMs", 0.0) if limits.flag("retryAfter", False) else 0.0,
        gossip_inbox_per_s=domain.number("inboxPerS", 0.0),
        report_how=report.text("how", "none"),
        report_fields=report.words("fields"),
        cross_zone_price=prices.number("crossZone", 0.0),
        peer_price=prices.number("peer", 0.0),
    )
