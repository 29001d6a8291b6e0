"""Reads the settings in the platform's JSON format into the types of `gateway.interface.settings`.

Only the tables in this module map the platform's keys to the names of the settings.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any, TypeVar

from gateway.errors import SettingsError
from gateway.interface.json_object import JsonObject
from gateway.interface.settings import Idempotency, KeyScope, Plan, RequestClass, Settings

_MANUAL_SUBSCRIPTION = "subscribe"  # value of "discovery": endpoint updates have to be requested
_RETRY_AFTER_KEY = "retryAfter"  # key of the flag that states whether clients heed Retry-After

_IDEMPOTENCY = {
    "retryable": Idempotency.IDEMPOTENT,
    "dedup": Idempotency.WITH_KEY,
    "fragile": Idempotency.NON_IDEMPOTENT,
}
_KEY_SCOPES = {
    "all": KeyScope.ALL,
    "zone": KeyScope.ZONE,
    "cell": KeyScope.CELL,
}

_Choice = TypeVar("_Choice", bound=Enum)


class _Section(Enum):
    """An object of the JSON that holds settings; the value is its key in the top object."""

    TOP = ""
    RULES = "rules"
    LIMITS = "limits"
    DOMAIN = "domain"
    REPORT = "report"
    PENALTIES = "penalties"


_OPTIONAL_SECTIONS = (_Section.DOMAIN, _Section.REPORT, _Section.PENALTIES)


@dataclass(frozen=True, slots=True)
class _Field:
    """The mapping of one setting from its JSON key to its name, and the function that reads its value."""

    name: str
    key: str
    read: Callable[..., object]  # its arguments: the object, the key, and the fallback if there is one
    fallback: object = None  # value for a missing key; None: the key is required
    section: _Section = _Section.TOP

    def value_in(self, row: JsonObject) -> object:
        """Return the value of the setting in an object; raise SettingsError if it is missing or invalid."""
        if self.fallback is None:
            return self.read(row, self.key)
        return self.read(row, self.key, self.fallback)


def settings_from(value: object, path: str = "info") -> Settings:
    """Return the settings in a parsed JSON object; unknown keys are ignored.

    `path` is the path of the object in its document, for error texts. Raises SettingsError if a required key
    is missing or a value is invalid.
    """
    top = JsonObject(value, path)
    sections = {section: _section_of(top, section) for section in _Section}
    values: dict[str, Any] = {
        field.name: field.value_in(sections[field.section]) for field in _SETTINGS_FIELDS
    }
    return Settings(**values)


def _section_of(top: JsonObject, section: _Section) -> JsonObject:
    if section is _Section.TOP:
        return top
    return top.object(section.value, {} if section in _OPTIONAL_SECTIONS else None)


def _field_values(row: JsonObject, fields: tuple[_Field, ...]) -> dict[str, Any]:
    return {field.name: field.value_in(row) for field in fields}


def _read_choice(row: JsonObject, key: str, choices: Mapping[str, _Choice], fallback: str | None) -> _Choice:
    value = row.text(key, fallback)
    if value not in choices:
        raise SettingsError(f"{row.path}.{key}", f"expected one of {', '.join(choices)}, received {value!r}")
    return choices[value]


def _read_idempotency(row: JsonObject, key: str) -> Idempotency:
    return _read_choice(row, key, _IDEMPOTENCY, None)


def _read_key_scope(row: JsonObject, key: str, fallback: str) -> KeyScope:
    return _read_choice(row, key, _KEY_SCOPES, fallback)


def _read_request_classes(top: JsonObject, key: str) -> tuple[RequestClass, ...]:
    return tuple(RequestClass(**_field_values(row, _CLASS_FIELDS)) for row in top.objects(key))


def _read_plans(top: JsonObject, key: str) -> tuple[Plan, ...]:
    return tuple(Plan(**_field_values(row, _PLAN_FIELDS)) for row in top.objects(key))


def _read_must_subscribe(top: JsonObject, key: str, fallback: str) -> bool:
    return top.text(key, fallback) == _MANUAL_SUBSCRIPTION


def _read_max_retry_after_ms(limits: JsonObject, key: str, fallback: float) -> float:
    return limits.number(key, fallback) if limits.flag(_RETRY_AFTER_KEY, False) else 0.0


_CLASS_FIELDS = (
    _Field("idempotency", "repeat", _read_idempotency),
    _Field("key_scope", "keyScope", _read_key_scope, "all"),
    _Field("name", "name", JsonObject.text),
    _Field("latency_objective_ms", "aimMs", JsonObject.number),
    _Field("deadline_ms", "deadlineMs", JsonObject.number),
    _Field("priority_weight", "worth", JsonObject.number, 1.0),
    _Field("late_weight", "lateWorth", JsonObject.number, 0.0),
    _Field("deduplication_window_ms", "dedupWindowMs", JsonObject.number, 0.0),
    _Field("streamed", "streamed", JsonObject.flag, False),
    _Field("objective_stretch", "aimStretch", JsonObject.number, 0.0),
)

_PLAN_FIELDS = (
    _Field("name", "name", JsonObject.text),
    _Field("rate_per_s", "perSecond", JsonObject.number, 0.0),
    _Field("burst", "storeSize", JsonObject.number, 0.0),
    _Field("max_in_flight", "concurrency", JsonObject.integer, 0.0),
    _Field("weight_factor", "valueFactor", JsonObject.number, 1.0),
    _Field("overage_weight", "overWorth", JsonObject.number, 0.0),
    _Field("overage_cost", "overrunCost", JsonObject.number, 0.0),
    _Field("ceiling_per_s", "hardRate", JsonObject.number, 0.0),
    _Field("ceiling_burst", "hardBurst", JsonObject.number, 0.0),
    _Field("ceiling_slack", "capSlack", JsonObject.number, 0.0),
)

_SETTINGS_FIELDS = (
    _Field("gateways", "balancers", JsonObject.integer),
    _Field("gateway_number", "myNumber", JsonObject.integer),
    _Field("zone", "locality", JsonObject.text, ""),
    _Field("classes", "classes", _read_request_classes),
    _Field("plans", "packages", _read_plans),
    _Field("slow_start_ms", "warmUpMs", JsonObject.number, section=_Section.RULES),
    _Field("slow_start_floor", "coldFrom", JsonObject.number, section=_Section.RULES),
    _Field("overload_multiple", "fallMultiple", JsonObject.number, section=_Section.RULES),
    _Field("overload_window_ms", "tipAfterMs", JsonObject.number, section=_Section.RULES),
    _Field("poll_within_ms", "askWithinMs", JsonObject.number, 10_000.0, _Section.RULES),
    _Field("drain_grace_ms", "drainGraceMs", JsonObject.number, 1000.0, _Section.RULES),
    _Field("max_attempts", "maxAttempts", JsonObject.integer, section=_Section.LIMITS),
    _Field("tick_ms", "tickMs", JsonObject.number, 1.0),
    _Field("max_units", "maxUnits", JsonObject.number, 1.0, _Section.DOMAIN),
    _Field("may_cancel", "cancel", JsonObject.flag, False, _Section.LIMITS),
    _Field("may_gossip", "mayTell", JsonObject.flag, False, _Section.LIMITS),
    _Field("may_check_health", "probing", JsonObject.flag, False, _Section.LIMITS),
    _Field("may_hedge", "secondCopies", JsonObject.flag, False, _Section.LIMITS),
    _Field("must_subscribe", "discovery", _read_must_subscribe, "automatic"),
    _Field("post_paid", "postPaid", JsonObject.flag, False, _Section.DOMAIN),
    _Field("max_retry_after_ms", "maxRetryAfterMs", _read_max_retry_after_ms, 0.0, _Section.LIMITS),
    _Field("gossip_inbox_per_s", "inboxPerS", JsonObject.number, 0.0, _Section.DOMAIN),
    _Field("load_report_method", "how", JsonObject.text, "none", _Section.REPORT),
    _Field("report_fields", "fields", JsonObject.strings, section=_Section.REPORT),
    _Field("cross_zone_price", "crossZone", JsonObject.number, 0.0, _Section.PENALTIES),
    _Field("peer_price", "peer", JsonObject.number, 0.0, _Section.PENALTIES),
)
