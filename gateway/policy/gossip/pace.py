"""The pacing of gossip: a limit on the rate of messages, so that no gateway's inbox overflows.

A gateway receives a limited number of messages per second, and messages beyond that rate are lost. A gateway
does not know the rates at which its peers receive messages, and uses the rate at its own inbox as an
estimate. When that rate is more than half of the permitted rate, the gateway leaves more time between two
messages to the same peer, so that each message carries more entries.
"""

import math

from gateway.policy.context import CONTROL_PERIOD_MS, PolicyComponent, PolicyContext
from gateway.policy.decay import NEVER_MS, decay
from gateway.policy.gossip.outbox import EntryOutbox, OutgoingMessage
from gateway.policy.timers import TimerKind

# Fraction of the rate at which a gateway can receive messages that all other gateways together may use.
INBOX_FRACTION = 0.75

# Time, in milliseconds, for which a peer counts as active after its last message. The permitted rate of an
# inbox is divided among the active peers. This is also the time constant with which the count of received
# messages decays.
ACTIVE_PEER_MS = 1000.0


class GossipPacer(PolicyComponent):
    """Holds the outbox, and decides when its entries may be sent to each gateway."""

    def __init__(self, context: PolicyContext) -> None:
        super().__init__(context)
        self.outbox = EntryOutbox()
        self.received_at_ms: dict[int, float] = {}  # time of the last message from each active peer
        self._sent_at_ms: dict[int, float] = {}  # time of the last message to each gateway
        self._received_count = 0.0  # exponentially decaying count of received messages
        self._flush_at_ms = 0.0  # time of the last scheduled GOSSIP_FLUSH timer

    def on_message_received(self, sender: int) -> None:
        """Record the sender and the time of a received message."""
        self.received_at_ms[sender] = self._turn.now_ms
        self._received_count += 1

    def decay_received_count(self) -> None:
        """Reduce the count of received messages by the decay of one period; called once per period."""
        self._received_count *= decay(CONTROL_PERIOD_MS, ACTIVE_PEER_MS)

    def take_messages(self) -> list[OutgoingMessage]:
        """Remove and return the messages that may be sent now, and schedule a timer for remaining entries."""
        if not self.outbox:
            return []
        now_ms = self._turn.now_ms
        min_interval_ms = self._min_interval_ms()
        ready = [
            gateway
            for gateway in self.outbox
            if now_ms > self._sent_at_ms.get(gateway, NEVER_MS) + min_interval_ms
        ]
        self._sent_at_ms.update((gateway, now_ms) for gateway in ready)
        messages = self.outbox.take_messages(ready)
        if self.outbox and now_ms >= self._flush_at_ms:
            self._flush_at_ms = now_ms + max(self._settings.tick_ms, min_interval_ms / 2)
            self._schedule(self._flush_at_ms, TimerKind.GOSSIP_FLUSH)
        return messages

    def _min_interval_ms(self) -> float:
        """Return the minimum time between two messages to one gateway.

        It is 0 while this gateway receives up to half of the permitted rate, and grows linearly from there to
        the full rate. With the interval at the full rate, all active peers together send each gateway no more
        than the permitted rate.
        """
        self._drop_inactive_peers()
        inbox_per_s = INBOX_FRACTION * self._settings.gossip_inbox_per_s or math.inf
        interval_factor = min(1.0, max(0.0, 2 * self._received_count / inbox_per_s - 1))
        return interval_factor * len(self.received_at_ms) * 1000 / inbox_per_s

    def _drop_inactive_peers(self) -> None:
        now_ms = self._turn.now_ms
        self.received_at_ms = {
            gateway: at_ms
            for gateway, at_ms in self.received_at_ms.items()
            if now_ms - at_ms <= ACTIVE_PEER_MS
        }
