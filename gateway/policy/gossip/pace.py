"""The pace of gossip: how often messages are sent, so that no gateway's inbox overflows.

Messages beyond an inbox's rate are lost. The rate at which this gateway receives messages stands for that of
its peers: where its own inbox is more than half full, entries wait longer, so that a message carries more.
"""

import math

from gateway.policy.context import CONTROL_PERIOD_MS, PolicyComponent, PolicyContext
from gateway.policy.decay import NEVER_MS, decay
from gateway.policy.gossip.outbox import EntryOutbox, OutgoingMessage
from gateway.policy.timers import TimerKind

INBOX_FRACTION = 0.75  # fraction of an inbox that all other gateways together may fill
ACTIVE_PEER_MS = 1000.0  # time since its last message for which a peer counts as an active sender


class GossipPacer(PolicyComponent):
    """Takes the messages out of the outbox that may be sent."""

    def __init__(self, context: PolicyContext) -> None:
        super().__init__(context)
        self.outbox = EntryOutbox()
        self.received_at_ms: dict[int, float] = {}  # time of the last message of each active peer
        self._sent_at_ms: dict[int, float] = {}  # time of the last message to each gateway
        self._received = 0.0  # decaying count of received messages
        self._flush_at_ms = 0.0  # time of the next flush that is scheduled

    def on_received(self, sender: int) -> None:
        """Count a received message."""
        self.received_at_ms[sender] = self._turn.now_ms
        self._received += 1

    def decay_received_count(self) -> None:
        """Let the count of received messages decay by one period."""
        self._received *= decay(CONTROL_PERIOD_MS, ACTIVE_PEER_MS)

    def take_messages(self) -> list[OutgoingMessage]:
        """Return the messages to send now, and schedule a timer for entries that remain."""
        if not self.outbox:
            return []
        now_ms = self._turn.now_ms
        gap_ms = self._gap_ms()
        ready = [
            gateway for gateway in self.outbox if now_ms > self._sent_at_ms.get(gateway, NEVER_MS) + gap_ms
        ]
        self._sent_at_ms.update((gateway, now_ms) for gateway in ready)
        messages = self.outbox.take_messages(ready)
        if self.outbox and now_ms >= self._flush_at_ms:
            self._flush_at_ms = now_ms + max(self._settings.tick_ms, gap_ms / 2)
            self._schedule(self._flush_at_ms, TimerKind.GOSSIP_FLUSH)
        return messages

    def _gap_ms(self) -> float:
        """Return the minimum time between two messages to one gateway."""
        self._drop_inactive_peers()
        inbox_per_s = INBOX_FRACTION * self._settings.gossip_inbox_per_s or math.inf
        fullness = min(1.0, max(0.0, 2 * self._received / inbox_per_s - 1))
        return fullness * len(self.received_at_ms) * 1000 / inbox_per_s

    def _drop_inactive_peers(self) -> None:
        now_ms = self._turn.now_ms
        self.received_at_ms = {
            gateway: at_ms
            for gateway, at_ms in self.received_at_ms.items()
            if now_ms - at_ms <= ACTIVE_PEER_MS
        }
