"""The base class of the gateway's exceptions, and those exceptions that several packages use."""

from __future__ import annotations


class GatewayError(Exception):
    """The base class of all exceptions that the gateway defines."""


class SettingsError(GatewayError, ValueError):
    """A missing or invalid setting; the message contains the setting's path and the problem."""

    def __init__(self, path: str, problem: str) -> None:
        """`path` locates the setting, for example `config.settings.classes[0].aimMs`."""
        super().__init__(f"{path}: {problem}")
        self.path = path


class ConfigError(GatewayError):
    """A configuration that is missing, unreadable or invalid; the message states the problem."""


class BadRequestError(GatewayError, ValueError):
    """A client's request that is rejected as invalid; the message names the invalid part."""

    def __init__(self, message: str, status: int = 400) -> None:
        """`status` is the HTTP status code of the response."""
        super().__init__(message)
        self.status = status


class OverloadedError(GatewayError):
    """A request for which the process lacks memory; it has not been forwarded, and may be retried."""

    def __init__(self, retry_after_ms: float) -> None:
        """`retry_after_ms` is the time after which the client may retry, 0 to state none."""
        super().__init__("too little memory is left to forward the request")
        self.retry_after_ms = retry_after_ms


class HandoverError(GatewayError):
    """A failure to restore the predecessor's state; the message states the cause."""
