"""The state that a predecessor sends to its successor, and its JSON, which versions share."""

from __future__ import annotations

import json
from dataclasses import dataclass

from gateway.policy.state_transfer.gateway_state import GatewayState


@dataclass(frozen=True, slots=True)
class HandoverState:
    """What the successor takes over."""

    request_ids: list[str]  # of requests that are open or have ended recently
    controller_state: GatewayState
    descriptors: int  # number that the predecessor holds

    def encode(self) -> bytes:
        """Return the state's JSON."""
        state = {
            "names": self.request_ids,
            "module": self.controller_state.to_json(),
            "held": self.descriptors,
        }
        return json.dumps(state).encode()


def decode(data: bytes | bytearray) -> HandoverState:
    """Return the state in its JSON; raises ValueError, KeyError or TypeError if it is malformed."""
    state = json.loads(data)
    return HandoverState(state["names"], GatewayState.from_json(state["module"]), state["held"])
