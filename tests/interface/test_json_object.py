"""Tests of typed access to JSON objects."""

import pytest

from gateway.errors import SettingsError
from gateway.interface.json_object import JsonObject

VALUES = JsonObject(
    {"number": 1.5, "count": 7, "text": "a", "flag": True, "object": {"inner": 1}, "array": [{}, {"n": 2}]},
    "top",
)


@pytest.mark.parametrize(
    ("read", "value"),
    [
        (lambda: VALUES.number("number"), 1.5),
        (lambda: VALUES.number("count"), 7.0),
        (lambda: VALUES.integer("number"), 1),
        (lambda: VALUES.text("text"), "a"),
        (lambda: VALUES.flag("flag"), True),
        (lambda: VALUES.flag("count"), True),
        (lambda: VALUES.object("object").number("inner"), 1.0),
        (lambda: VALUES.array("array"), [{}, {"n": 2}]),
        (lambda: VALUES.strings("array"), ("{}", "{'n': 2}")),
        (lambda: VALUES.strings("missing"), ()),
        (lambda: VALUES.number("missing", 3.0), 3.0),
        (lambda: VALUES.text("missing", "b"), "b"),
        (lambda: VALUES.flag("missing", False), False),
        (lambda: VALUES.object("missing", {}).value, {}),
    ],
)
def test_value_of_the_expected_type_or_fallback_is_returned(read, value):
    assert read() == value


@pytest.mark.parametrize(
    ("read", "error"),
    [
        (lambda: VALUES.number("missing"), "top.missing: required, but missing or null"),
        (lambda: VALUES.number("text"), "top.text: expected a number, received 'a'"),
        (lambda: VALUES.number("flag"), "top.flag: expected a number, received True"),
        (lambda: VALUES.text("count"), "top.count: expected a string, received 7"),
        (lambda: VALUES.flag("number"), "top.number: expected a boolean or an integer, received 1.5"),
        (lambda: VALUES.object("text"), "top.text: expected an object, received 'a'"),
        (lambda: VALUES.object("object").text("inner"), "top.object.inner: expected a string, received 1"),
        (lambda: VALUES.objects("array")[1].text("n"), r"top.array\[1\].n: expected a string, received 2"),
        (lambda: VALUES.array("missing"), "top.missing: required, but missing or null"),
        (
            lambda: JsonObject({"n": 10**400}, "top").number("n"),
            "top.n: expected a finite number, received inf",
        ),
        (lambda: JsonObject({"n": None}, "top").number("n", 1.0), "top.n: required, but missing or null"),
        (lambda: JsonObject([], "top"), "top: expected an object, received a value of type list"),
    ],
)
def test_missing_or_malformed_value_raises_an_error_with_its_path(read, error):
    with pytest.raises(SettingsError, match=f"^{error}$"):
        read()
