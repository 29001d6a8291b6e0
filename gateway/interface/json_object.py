"""Typed access to the values of a JSON object, with errors that name the path of the value."""

from __future__ import annotations

import math
from typing import Any, TypeVar

from gateway.errors import SettingsError

_Value = TypeVar("_Value")

# Names of the accepted types in error texts.
_TYPE_NAMES: dict[tuple[type, ...], str] = {
    (int, float): "a number",
    (str,): "a string",
    (bool, int): "a boolean or an integer",
    (dict,): "an object",
    (list,): "an array",
}


class JsonObject:
    """A parsed JSON object and its path in the document.

    Each method returns the value of one key, or the fallback if the key is missing. It raises SettingsError
    if the value is null or has another type, or if the key is missing and there is no fallback. The text of
    the error starts with the path of the key.
    """

    def __init__(self, value: object, path: str) -> None:
        """Raise SettingsError if the value is not an object."""
        if not isinstance(value, dict):
            raise SettingsError(path, f"expected an object, received a value of type {type(value).__name__}")
        self.value: dict[str, Any] = value  # the type of each value is checked when the value is read
        self.path = path

    def number(self, key: str, fallback: float | None = None) -> float:
        """Return a finite number."""
        try:
            value = float(self._get(key, (int, float), fallback))
        except OverflowError:  # JSON does not limit the length of integers
            value = math.inf
        if not math.isfinite(value):
            raise SettingsError(f"{self.path}.{key}", f"expected a finite number, received {value!r}")
        return value

    def integer(self, key: str, fallback: float | None = None) -> int:
        """Return the integer part of a finite number."""
        return int(self.number(key, fallback))

    def text(self, key: str, fallback: str | None = None) -> str:
        """Return a string."""
        return self._get(key, (str,), fallback)

    def flag(self, key: str, fallback: bool | None = None) -> bool:
        """Return a boolean; an integer is true unless it is 0."""
        return bool(self._get(key, (bool, int), fallback))

    def object(self, key: str, fallback: dict[str, Any] | None = None) -> JsonObject:
        """Return an object, whose path includes the key."""
        return JsonObject(self._get(key, (dict,), fallback), f"{self.path}.{key}")

    def array(self, key: str) -> list[Any]:
        """Return an array, whose items are not checked."""
        return list(self._get(key, (list,), None))

    def objects(self, key: str) -> list[JsonObject]:
        """Return an array of objects, whose paths include their indexes."""
        items = enumerate(self.array(key))
        return [JsonObject(item, f"{self.path}.{key}[{index}]") for index, item in items]

    def strings(self, key: str) -> tuple[str, ...]:
        """Return the items of an array, each converted to a string; no items if the key is missing."""
        return tuple(str(item) for item in self._get(key, (list,), []))

    def _get(self, key: str, types: tuple[type[_Value], ...], fallback: _Value | None) -> _Value:
        value = self.value.get(key, fallback)
        if value is None:
            raise SettingsError(f"{self.path}.{key}", "required, but missing or null")
        is_unexpected_boolean = isinstance(value, bool) and bool not in types  # bool is a subclass of int
        if is_unexpected_boolean or not isinstance(value, types):
            raise SettingsError(f"{self.path}.{key}", f"expected {_TYPE_NAMES[types]}, received {value!r}")
        return value
