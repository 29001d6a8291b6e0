"""The errors that this program raises itself, in one small hierarchy."""

from __future__ import annotations


class GatewayError(Exception):
    """Base of all errors that the gateway raises on purpose."""


class SettingsError(GatewayError, ValueError):
    """An invalid setting; the text names the setting and its problem."""

    def __init__(self, path: str, problem: str) -> None:
        """`path` leads to the setting, as in `config.settings.classes[0].aimMs`."""
        super().__init__(f"{path}: {problem}")
        self.path = path


class ConfigError(GatewayError):
    """An unusable configuration; the text names the problem."""


class BadRequestError(GatewayError, ValueError):
    """A request that is rejected as malformed; the text names the part at fault."""

    def __init__(self, text: str, status: int = 400) -> None:
        """`status` is the status code of the response."""
        super().__init__(text)
        self.status = status


class HandoverError(GatewayError):
    """A predecessor's state that cannot be taken over; the text names the cause."""
