"""The state that a predecessor sends to its successor, as JSON.

The two processes may run different versions of the gateway, so the JSON keys must not change.
"""

from __future__ import annotations

import json
from dataclasses import dataclass

from gateway.policy.state_transfer.gateway_state import GatewayState


@dataclass(frozen=True, slots=True)
class HandoverState:
    """The state of a process at the moment of the handover."""

    request_ids: list[str]  # ids of the requests that are open or have ended recently
    controller_state: GatewayState
    open_descriptors: int  # number of file descriptors that the predecessor has open

    def encode(self) -> bytes:
        """Return the state as JSON."""
        state = {
            "names": self.request_ids,
            "module": self.controller_state.to_json(),
            "held": self.open_descriptors,
        }
        return json.dumps(state).encode()


def decode(data: bytes | bytearray) -> HandoverState:
    """Return the state that `data` encodes; raises ValueError, KeyError or TypeError if it is malformed."""
    state = json.loads(data)
    return HandoverState(state["names"], GatewayState.from_json(state["module"]), state["held"])
