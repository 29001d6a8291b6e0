"""The states of a client's connection and their transitions.

| state      | meaning                                           | next states                              |
| ---------- | ------------------------------------------------- | ---------------------------------------- |
| IDLE       | nothing of the next request has been received     | RECEIVING                                |
| RECEIVING  | a request is being received; it is open already   | RECEIVED, DISCARDING (early response),   |
|            | if its body is large                              | PAUSED (rejected), IDLE (readiness)      |
| RECEIVED   | the open request is complete                      | IDLE (response complete), PIPELINED      |
| PIPELINED  | the same, and bytes followed the request; they    | CLOSING (response complete)              |
|            | and all later ones are discarded                  |                                          |
| DISCARDING | the response is complete; the rest of the request | IDLE (end of the request)                |
|            | is discarded                                      |                                          |
| PAUSED     | a request was rejected; reading resumes later     | IDLE (end of the pause)                  |
| CLOSING    | the gateway or the client ends the connection     |                                          |

CLOSING can follow each other state: after unacceptable bytes, a timeout, the client's end or the gateway's.
"""

from __future__ import annotations

import enum


class ConnectionState(enum.Enum):
    """The state of a client's connection; the module's docstring has the transitions."""

    IDLE = enum.auto()
    RECEIVING = enum.auto()
    RECEIVED = enum.auto()
    PIPELINED = enum.auto()
    DISCARDING = enum.auto()
    PAUSED = enum.auto()
    CLOSING = enum.auto()
