"""The settings in the platform's JSON, translated into the types of `gateway.interface.settings`.

The keys are the pages' words; they are known here alone.
"""

from __future__ import annotations

import math
from typing import Any

from gateway.errors import SettingsError
from gateway.interface.settings import Idempotency, KeyScope, Plan, RequestClass, Settings

_IDEMPOTENCY = {
    "retryable": Idempotency.IDEMPOTENT,
    "dedup": Idempotency.WITH_KEY,
    "fragile": Idempotency.NON_IDEMPOTENT,
}
_KEY_SCOPES = {scope.value: scope for scope in KeyScope}


class JsonObject:
    """An object of JSON, with the path that leads to it.

    Each method returns the value of one key, or the fallback where the object lacks it. It raises
    SettingsError with the key's path where there is neither, or a value of another type.
    """

    def __init__(self, value: Any, path: str) -> None:
        """Raise SettingsError where the value is no object."""
        if not isinstance(value, dict):
            raise SettingsError(path, "an object is expected")
        self.value = value
        self.path = path

    def number(self, key: str, fallback: float | None = None) -> float:
        """Return a finite number."""
        try:
            value = float(self._get(key, (int, float), fallback))
        except OverflowError:  # JSON has whole numbers of any length
            value = math.inf
        if not math.isfinite(value):
            raise SettingsError(f"{self.path}.{key}", f"cannot read {value!r}")
        return value

    def text(self, key: str, fallback: str | None = None) -> str:
        """Return a string."""
        return str(self._get(key, (str,), fallback))

    def flag(self, key: str, fallback: bool | None = None) -> bool:
        """Return true or false, which may be told as a number."""
        return bool(self._get(key, (bool, int), fallback))

    def object(self, key: str, fallback: dict[str, Any] | None = None) -> JsonObject:
        """Return an object."""
        return JsonObject(self._get(key, (dict,), fallback), f"{self.path}.{key}")

    def array(self, key: str) -> list[Any]:
        """Return an array, whatever its items are."""
        return list(self._get(key, (list,), None))

    def objects(self, key: str) -> list[JsonObject]:
        """Return an array of objects."""
        return [JsonObject(row, f"{self.path}.{key}[{n}]") for n, row in enumerate(self.array(key))]

    def words(self, key: str) -> tuple[str, ...]:
        """Return an array's items as strings; an empty one where the object lacks it."""
        return tuple(str(word) for word in self._get(key, (list,), []))

    def _get(self, key: str, types: tuple[type, ...], fallback: Any) -> Any:
        value = self.value.get(key, fallback)
        if value is None:
            raise SettingsError(f"{self.path}.{key}", "it is missing")
        if not isinstance(value, types) or (isinstance(value, bool) and bool not in types):
            raise SettingsError(f"{self.path}.{key}", f"cannot read {value!r}")
        return value


def settings_from(value: Any, path: str = "info") -> Settings:
    """Return the settings in an object of JSON; unknown keys are skipped.

    Raises SettingsError where a key is missing or its value can't be right.
    """
    top = JsonObject(value, path)
    rules = top.object("rules")
    limits = top.object("limits")
    domain = top.object("domain", {})
    report = top.object("report", {})
    prices = top.object("penalties", {})
    has_retry_after = limits.flag("retryAfter", False)
    return Settings(
        gateways=int(top.number("balancers")),
        number=int(top.number("myNumber")),
        zone=top.text("locality", ""),
        classes=tuple(_request_class(row) for row in top.objects("classes")),
        plans=tuple(_plan(row) for row in top.objects("packages")),
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
        max_retry_after_ms=limits.number("maxRetryAfterMs", 0.0) if has_retry_after else 0.0,
        gossip_inbox_per_s=domain.number("inboxPerS", 0.0),
        report_how=report.text("how", "none"),
        report_fields=report.words("fields"),
        cross_zone_price=prices.number("crossZone", 0.0),
        peer_price=prices.number("peer", 0.0),
    )


def _request_class(row: JsonObject) -> RequestClass:
    repeat = row.text("repeat")
    if repeat not in _IDEMPOTENCY:
        raise SettingsError(f"{row.path}.repeat", f"{repeat!r} is no kind of repeat")
    scope = row.text("keyScope", "all")
    if scope not in _KEY_SCOPES:
        raise SettingsError(f"{row.path}.keyScope", f"{scope!r} is no group")
    return RequestClass(
        name=row.text("name"),
        latency_objective_ms=row.number("aimMs"),
        deadline_ms=row.number("deadlineMs"),
        priority_weight=row.number("worth", 1.0),
        idempotency=_IDEMPOTENCY[repeat],
        late_weight=row.number("lateWorth", 0.0),
        key_scope=_KEY_SCOPES[scope],
        deduplication_window_ms=row.number("dedupWindowMs", 0.0),
        streamed=row.flag("streamed", False),
        objective_stretch=row.number("aimStretch", 0.0),
    )


def _plan(row: JsonObject) -> Plan:
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
