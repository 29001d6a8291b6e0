"""The phase of this process's service, and its role beside another process of the same gateway."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum
from typing import Protocol

from gateway.network.clients.connection_limiter import LimitedConnection


class ServicePhase(Enum):
    """The phases of a process, entered in this order."""

    STARTING = "starting"  # clients are not served yet
    SERVING = "serving"
    SHUTTING_DOWN = "shutting down"  # requests are still accepted, with deadlines before the end
    DRAINING = "draining"  # open requests are finished, no connection is kept open


class SiblingLink(Protocol):
    """The link to another process of this gateway."""

    def send_gossip(self, sender: int, data: bytes) -> None:
        """Forward a datagram from the gateway of that number; it may be lost, as any datagram may be."""


class SuccessorLink(SiblingLink, Protocol):
    """The link to the process that has taken over the service."""

    def hand_over(self, client: LimitedConnection) -> None:
        """Pass on an idle connection of a client; this process no longer uses it."""


@dataclass(frozen=True, slots=True)
class ServingAlone:
    """No other process of this gateway is linked."""


@dataclass(frozen=True, slots=True)
class FollowingPredecessor:
    """This process has taken over the service; its predecessor finishes its open requests."""

    predecessor: SiblingLink


@dataclass(frozen=True, slots=True)
class Retired:
    """A successor serves; this process finishes its open requests.

    The gossip link is the successor's, or None once a predecessor of this process has ended in this state.
    """

    successor: SuccessorLink
    gossip_link: SiblingLink | None


class ProcessRole:
    """The phase of the service and the role in a hot restart.

    | state                | event             | next state              |
    | -------------------- | ----------------- | ----------------------- |
    | ServingAlone         | follow            | FollowingPredecessor    |
    | FollowingPredecessor | predecessor ended | ServingAlone            |
    | any but Retired      | retire            | Retired                 |
    | Retired              | successor ended   | ServingAlone            |
    | Retired              | predecessor ended | Retired, no gossip link |
    """

    def __init__(self) -> None:
        """Begin in the phase STARTING, with no other process."""
        self.phase = ServicePhase.STARTING
        self._state: ServingAlone | FollowingPredecessor | Retired = ServingAlone()

    @property
    def is_ready(self) -> bool:
        """Whether this process serves, and no successor does."""
        return self.phase is ServicePhase.SERVING and not isinstance(self._state, Retired)

    @property
    def is_retired(self) -> bool:
        """Whether a successor serves."""
        return isinstance(self._state, Retired)

    @property
    def predecessor(self) -> SiblingLink | None:
        """The link to the predecessor, while this process serves and the predecessor runs."""
        return self._state.predecessor if isinstance(self._state, FollowingPredecessor) else None

    @property
    def successor(self) -> SuccessorLink | None:
        """The link to the successor, while that one serves."""
        return self._state.successor if isinstance(self._state, Retired) else None

    @property
    def sibling(self) -> SiblingLink | None:
        """The link to the process that gets the datagrams which this gateway sends to itself."""
        if isinstance(self._state, Retired):
            return self._state.gossip_link
        return self.predecessor

    def follow(self, predecessor: SiblingLink) -> None:
        """Take over the service from the predecessor."""
        self._state = FollowingPredecessor(predecessor)

    def retire(self, successor: SuccessorLink) -> None:
        """Leave the service to the successor."""
        self._state = Retired(successor, gossip_link=successor)

    def on_predecessor_ended(self) -> None:
        """Forget the predecessor."""
        if isinstance(self._state, Retired):
            self._state = replace(self._state, gossip_link=None)
        else:
            self._state = ServingAlone()

    def on_successor_ended(self) -> None:
        """Forget the successor."""
        self._state = ServingAlone()
