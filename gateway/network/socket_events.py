"""Polls the sockets of connections for events that the event loop has not reported."""

from __future__ import annotations

import asyncio
import select


def has_unread_input(transport: asyncio.BaseTransport) -> bool:
    """Return whether the socket holds unread input: bytes, or the end of the peer's input."""
    return _has_event(transport, select.POLLIN)


def has_peer_shut_down(transport: asyncio.BaseTransport) -> bool:
    """Return whether the peer has shut down its sending side, also behind unread bytes."""
    return _has_event(transport, select.POLLRDHUP)


def _has_event(transport: asyncio.BaseTransport, event_mask: int) -> bool:
    sock = transport.get_extra_info("socket")
    if sock is None or transport.is_closing():
        return False
    poll = select.poll()
    poll.register(sock.fileno(), event_mask)
    return bool(poll.poll(0))
