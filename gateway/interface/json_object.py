"""Typed access to the values of a JSON object."""

from __future__ import annotations

import math
from typing import Any, TypeVar

from gateway.errors import SettingsError

_Value = TypeVar("_Value")


class JsonObject:
    """A JSON object, with the path that leads to it.

    Each method returns the value of one key, or the fallback where the key is missing. It raises
    SettingsError, with the key's path, where there is neither or the value has another type.
    """

    def __init__(self, value: object, path: str) -> None:
        """Raise SettingsError where the value is no object."""
        if not isinstance(value, dict):
            raise SettingsError(path, "an object is expected")
        self.value: dict[str, Any] = value  # JSON values have any type until they are read
        self.path = path

    def number(self, key: str, fallback: float | None = None) -> float:
        """Return a finite number."""
        try:
            value = float(self._get(key, (int, float), fallback))
        except OverflowError:  # integers in JSON have any length
            value = math.inf
        if not math.isfinite(value):
            raise SettingsError(f"{self.path}.{key}", f"cannot read {value!r}")
        return value

    def integer(self, key: str, fallback: float | None = None) -> int:
        """Return a finite number, rounded towards zero."""
        return int(self.number(key, fallback))

    def text(self, key: str, fallback: str | None = None) -> str:
        """Return a string."""
        return self._get(key, (str,), fallback)

    def flag(self, key: str, fallback: bool | None = None) -> bool:
        """Return a boolean, for which an integer may stand."""
        return bool(self._get(key, (bool, int), fallback))

    def object(self, key: str, fallback: dict[str, Any] | None = None) -> JsonObject:
        """Return an object."""
        return JsonObject(self._get(key, (dict,), fallback), f"{self.path}.{key}")

    def array(self, key: str) -> list[Any]:
        """Return an array with items of any type."""
        return list(self._get(key, (list,), None))

    def objects(self, key: str) -> list[JsonObject]:
        """Return an array of objects."""
        rows = enumerate(self.array(key))
        return [JsonObject(row, f"{self.path}.{key}[{number}]") for number, row in rows]

    def words(self, key: str) -> tuple[str, ...]:
        """Return the items of an array as strings; no items where the key is missing."""
        return tuple(str(word) for word in self._get(key, (list,), []))

    def _get(self, key: str, types: tuple[type[_Value], ...], fallback: _Value | None) -> _Value:
        value = self.value.get(key, fallback)
        if value is None:
            raise SettingsError(f"{self.path}.{key}", "it is missing")
        is_stray_boolean = isinstance(value, bool) and bool not in types  # booleans are integers in Python
        if is_stray_boolean or not isinstance(value, types):
            raise SettingsError(f"{self.path}.{key}", f"cannot read {value!r}")
        return value
