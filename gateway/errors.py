"""The errors that this program raises itself, in one small hierarchy."""

from __future__ import annotations


class GatewayError(Exception):
    """Base of all errors that the gateway raises on purpose."""


class SettingsError(GatewayError, ValueError):
    """A setting that cannot be right; the text names the setting and what is wrong with it."""

    def __init__(self, path: str, problem: str) -> None:
        """`path` leads to the setting, as in `config.settings.classes[0].aimMs`."""
        super().__init__(f"{path}: {problem}")
        self.path = path


class ConfigError(GatewayError):
    """A configuration that can't be used; the text names what is wrong."""


class BadRequestError(GatewayError, ValueError):
    """A request that is turned away; the text names the part at fault."""

    def __init__(self, text: str, status: int = 400) -> None:
        """`status` is the answer's status code."""
        super().__init__(text)
        self.status = status
