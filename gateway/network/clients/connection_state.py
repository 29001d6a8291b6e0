"""The states of a client connection and the transitions between them.

| state      | meaning                                           | next states                              |
| ---------- | ------------------------------------------------- | ---------------------------------------- |
| IDLE       | nothing of the next request has been received     | RECEIVING                                |
| RECEIVING  | a request is being received; if its body is       | RECEIVED, DISCARDING (early response),   |
|            | large, the request is open before its end         | PAUSED (rejected), IDLE (readiness)      |
| RECEIVED   | the open request is complete                      | IDLE (response complete), PIPELINED      |
| PIPELINED  | the open request is complete, and bytes followed  | CLOSING (response complete)              |
|            | it; they and all later bytes are discarded        |                                          |
| DISCARDING | the response is sent; the remaining bytes of the  | IDLE (end of the request)                |
|            | request are still being received and discarded    |                                          |
| PAUSED     | a request was rejected, and reading pauses        | IDLE (end of the pause)                  |
| CLOSING    | the gateway or the client closes the connection   |                                          |

Every state can change to CLOSING: after unacceptable bytes, after a timeout, and when the client or the
gateway closes the connection.
"""

from __future__ import annotations

import enum


class ConnectionState(enum.Enum):
    """The state of a client connection; the module docstring describes each state and its transitions."""

    IDLE = enum.auto()
    RECEIVING = enum.auto()
    RECEIVED = enum.auto()
    PIPELINED = enum.auto()
    DISCARDING = enum.auto()
    PAUSED = enum.auto()
    CLOSING = enum.auto()
