"""The service phase of this process, and its role in a hot restart of the gateway."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum
from typing import Protocol

from gateway.network.clients.connection_limiter import LimitedConnection


class ServicePhase(Enum):
    """The phases of a process, in the order in which it enters them."""

    STARTING = "starting"  # not ready: sockets are opened, and the first endpoint list is awaited
    SERVING = "serving"  # requests are accepted
    SHUTTING_DOWN = "shutting down"  # requests are accepted, with deadlines before the planned end
    DRAINING = "draining"  # open requests are finished, and connections are closed after their responses


class SiblingLink(Protocol):
    """The link to a sibling process of the gateway, which is the predecessor or the successor."""

    def send_gossip(self, sender: int, data: bytes) -> None:
        """Forward a datagram from the gateway with number `sender`; it may be lost, like any datagram."""


class SuccessorLink(SiblingLink, Protocol):
    """The link to the process that has taken over the service from this one."""

    def claim_id(self, request_id: bytes, on_result: Callable[[bool], None]) -> None:
        """Ask the successor whether the id of a request is unused; the result is passed to `on_result`."""

    def hand_over(self, client: LimitedConnection) -> None:
        """Send a client's idle connection to the successor; this process must not use it any more."""


@dataclass(frozen=True, slots=True)
class ServingAlone:
    """The role of a process without a predecessor and a successor."""


@dataclass(frozen=True, slots=True)
class FollowingPredecessor:
    """The role of a process that has taken over the service while its predecessor finishes open requests."""

    predecessor: SiblingLink


@dataclass(frozen=True, slots=True)
class Retired:
    """The role of a process that finishes its open requests after a successor has taken over the service.

    `gossip_link` is the link to the successor. It is None if the predecessor of this process has ended after
    this process entered the role.
    """

    successor: SuccessorLink
    gossip_link: SiblingLink | None


class ProcessRole:
    """The service phase, and the role in a hot restart.

    | role                 | event             | next role               |
    | -------------------- | ----------------- | ----------------------- |
    | ServingAlone         | follow            | FollowingPredecessor    |
    | FollowingPredecessor | predecessor ended | ServingAlone            |
    | any but Retired      | retire            | Retired                 |
    | Retired              | successor ended   | ServingAlone            |
    | Retired              | predecessor ended | Retired, no gossip link |
    """

    def __init__(self) -> None:
        """Start in the phase STARTING and the role ServingAlone."""
        self.phase = ServicePhase.STARTING
        self._role: ServingAlone | FollowingPredecessor | Retired = ServingAlone()

    @property
    def is_ready(self) -> bool:
        """Whether the phase is SERVING and no successor has taken over."""
        return self.phase is ServicePhase.SERVING and not isinstance(self._role, Retired)

    @property
    def is_retired(self) -> bool:
        """Whether a successor has taken over the service and still runs."""
        return isinstance(self._role, Retired)

    @property
    def predecessor(self) -> SiblingLink | None:
        """The link to the predecessor, or None unless the role is FollowingPredecessor."""
        return self._role.predecessor if isinstance(self._role, FollowingPredecessor) else None

    @property
    def successor(self) -> SuccessorLink | None:
        """The link to the successor, or None unless the role is Retired."""
        return self._role.successor if isinstance(self._role, Retired) else None

    @property
    def sibling(self) -> SiblingLink | None:
        """The link for datagrams that this gateway addresses to itself; None without another process."""
        if isinstance(self._role, Retired):
            return self._role.gossip_link
        return self.predecessor

    def follow(self, predecessor: SiblingLink) -> None:
        """Enter the role FollowingPredecessor, when this process has taken over the service."""
        self._role = FollowingPredecessor(predecessor)

    def retire(self, successor: SuccessorLink) -> None:
        """Enter the role Retired, when the successor takes over the service."""
        self._role = Retired(successor, gossip_link=successor)

    def on_predecessor_ended(self) -> None:
        """Release the link to the predecessor, whose process has ended."""
        if isinstance(self._role, Retired):
            self._role = replace(self._role, gossip_link=None)
        else:
            self._role = ServingAlone()

    def on_successor_ended(self) -> None:
        """Return to the role ServingAlone, when the successor's process has ended."""
        self._role = ServingAlone()
