"""Keeps the module `ssl` out of a process that only uses plain TCP.

The event loops import `ssl` without a need, and with it OpenSSL, which would occupy 5 MB of a memory limit
that can be 32 MB. `use_placeholder_for_ssl` has to be called before the first import of an event loop.
"""

from __future__ import annotations

import sys
import types

# Prefix of the names of integer constants in `ssl`; every other public name is that of a class here.
_INTEGER_PREFIX = "SSL_ERROR_"


class _SslPlaceholder(types.ModuleType):
    """A module with the names of `ssl` that event loops look up, without their functions."""

    def __getattr__(self, name: str) -> object:
        """Return an integer, an exception class or a class, as `ssl` has it for a name of this form."""
        if name.startswith("__"):
            raise AttributeError(name)
        if name.startswith(_INTEGER_PREFIX):
            return 0
        value = type(name, (Exception,) if name.endswith("Error") else (), {})
        setattr(self, name, value)
        return value


def use_placeholder_for_ssl() -> None:
    """Let later imports of `ssl` import the placeholder; has no effect once `ssl` has been imported."""
    sys.modules.setdefault("ssl", _SslPlaceholder("ssl"))
