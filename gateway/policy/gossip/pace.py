"""How fast other gateways' inboxes may be filled.

Danger: what comes faster than an inbox takes is lost. Our own stands in for those of our peers: while it is
half full, entries wait for more to go along.
"""

import math

from gateway.gossip.codec import QuotaEntry
from gateway.policy.context import PolicyComponent, PolicyContext
from gateway.policy.decay import NEVER_MS, decay
from gateway.policy.dispatch.fuzzy_share import PERIOD_MS
from gateway.policy.gossip.outbox import EntryOutbox
from gateway.policy.timers import TimerKind

INBOX_FRACTION = 0.75  # fraction of an inbox that all other gateways together may fill
ACTIVE_PEER_MS = 1000.0  # time since its last message for which a peer counts as an active sender


class GossipPace(PolicyComponent):
    """Takes out of the outbox what may be sent now."""

    def __init__(self, context: PolicyContext) -> None:
        super().__init__(context)
        self.outbox = EntryOutbox()
        self.received_at_ms: dict[int, float] = {}  # when other gateways last sent us anything,
        self._sent_at_ms: dict[int, float] = {}  # and we them
        self._received = 0.0  # decaying count of messages
        self._flush_at_ms = 0.0

    def on_received(self, sender: int) -> None:
        """Take note of a message."""
        self.received_at_ms[sender] = self._turn.now_ms
        self._received += 1

    def step(self) -> None:
        """Let one period's count fade."""
        self._received *= decay(PERIOD_MS, ACTIVE_PEER_MS)

    def take(self) -> list[tuple[int, list[QuotaEntry]]]:
        """Return what each gateway is sent now; a timer is scheduled for the rest."""
        if not self.outbox:
            return []
        now_ms = self._turn.now_ms
        gap_ms = self._gap_ms()
        ready = [other for other in self.outbox if now_ms > self._sent_at_ms.get(other, NEVER_MS) + gap_ms]
        self._sent_at_ms.update((other, now_ms) for other in ready)
        messages = self.outbox.take(ready)
        if self.outbox and now_ms >= self._flush_at_ms:
            self._flush_at_ms = now_ms + max(self._settings.tick_ms, gap_ms / 2)
            self._schedule(self._flush_at_ms, TimerKind.GOSSIP_FLUSH)
        return messages

    def _gap_ms(self) -> float:
        """Return the least time between two messages to one gateway."""
        now_ms = self._turn.now_ms
        received = self.received_at_ms.items()
        self.received_at_ms = {other: at_ms for other, at_ms in received if now_ms - at_ms <= ACTIVE_PEER_MS}
        inbox_per_s = INBOX_FRACTION * self._settings.gossip_inbox_per_s or math.inf
        fullness = min(1.0, max(0.0, 2 * self._received / inbox_per_s - 1))
        return fullness * len(self.received_at_ms) * 1000 / inbox_per_s
