"""Which connections of clients may stay: how many, how long without a request, and who goes first.

A connection is in one of three tables, or in none while a request of it is open: it owes a request (it is
new, or one has begun to come in), it is idle after an answer, or it leaves. Each is in order of time."""

from __future__ import annotations

from gateway.network.protocols import LimitedConnection

# Of the descriptors: all of clients; those and what has not gone yet; idle ones that may stay for long; and
# what is a crowd of those that ask, as clients hold a third at most for requests.
KEPT_PART, ADMITTED_PART, IDLE_PART, CROWD_PART = 0.38, 0.46, 0.02, 0.26
OWED_MS = 2500.0  # within so long a head must be whole; clients are owed an error or a close within 3 s
BODY_PER_MS = 32.0  # and a body so much later for each 32 kB that came: a slow client sends 64 kB a second
OWED_AT_END_MS = 500.0  # and when the gateway ends
SPARED_MS = 2000.0  # for so long an idle connection is left alone
CROWDED_MS = 250.0  # or this long, while clients hold nearly all the connections that they may
IDLE_MS = 60_000.0  # after so long it is closed in any case
LINGER_MS, LINGER_MOST_MS = 1000.0, 5000.0  # what still comes after an error is read; without a byte, in all
SWEEP_MS = 100.0


class ConnectionLimiter:
    """The connections of clients."""

    def __init__(self, sockets: int) -> None:
        self.limit(sockets)
        self.all: set[LimitedConnection] = set()
        self._awaiting_request: dict[LimitedConnection, float] = {}
        self._idle: dict[LimitedConnection, float] = {}
        self._closing: dict[LimitedConnection, float] = {}

    def limit(self, sockets: int) -> None:
        """Go by so many descriptors."""
        self.most, self.hard = int(sockets * KEPT_PART), int(sockets * ADMITTED_PART)
        self.idle_kept, self.crowd = int(sockets * IDLE_PART), int(sockets * CROWD_PART)

    def __len__(self) -> int:
        return len(self.all)

    def add_moved(self, client: LimitedConnection, now: float) -> None:
        """A connection that another process has served; its descriptor came along, so there is room."""
        self.most, self.hard = self.most + 1, self.hard + 1
        self.idle_kept, self.crowd = self.idle_kept + 1, self.crowd + 1
        self.all.add(client)
        self._idle[client] = now

    def came(self, client: LimitedConnection, now: float) -> bool:
        """A new connection; False if there is no room at all."""
        if len(self.all) >= self.hard:
            return False
        self.all.add(client)
        self._awaiting_request[client] = now
        return True

    def left(self, client: LimitedConnection) -> None:
        self.all.discard(client)
        self._drop(client)

    def _drop(self, client: LimitedConnection) -> None:
        for table in (self._awaiting_request, self._idle, self._closing):
            table.pop(client, None)

    def on_message_started(self, client: LimitedConnection, now: float) -> None:
        """A request begins to come in. A new connection's time counts from when it came."""
        self._idle.pop(client, None)
        self._awaiting_request.setdefault(client, now)

    def asked(self, client: LimitedConnection) -> None:
        self._awaiting_request.pop(client, None)

    def answered(self, client: LimitedConnection, now: float) -> None:
        self._idle[client] = now

    def leaves(self, client: LimitedConnection, now: float) -> None:
        self._drop(client)
        self._closing[client] = now

    def make_room(self) -> None:
        """Over the limit those go that are of least use: who has been refused, who has been quiet for longest
        without ever asking, who has been idle for longest. Who has a request open stays, and so does who has
        just sent what may be one: that is read first."""
        for table in (self._closing, self._awaiting_request, self._idle):
            for client in list(table) if len(self.all) > self.most else ():
                if table is not self._closing and client.has_unread_input():
                    continue
                self.left(client)
                client.drop()
                if len(self.all) <= self.most:
                    break

    def sweep(self, now: float, ending: bool) -> None:
        """Close what has had its time."""
        owed_ms = OWED_AT_END_MS if ending else OWED_MS
        for client in [one for one, since in self._awaiting_request.items() if now - since > owed_ms]:
            if ending or not client.head_ms or client.is_slow(now, owed_ms, BODY_PER_MS):
                client.on_input_timeout()
        # Clients hold only so many connections: those that asked once and stay would keep the others out.
        spared_ms = SPARED_MS if len(self._idle) > self.idle_kept else IDLE_MS
        crowd = len(self.all) - len(self._closing) - self.crowd
        if crowd > 0:  # a client that means to ask does so at once
            quiet = [
                one
                for one, since in self._awaiting_request.items()
                if not one.message_started and now - since > CROWDED_MS
            ]
            quiet += [one for one, since in self._idle.items() if now - since > CROWDED_MS]
            for client in quiet[:crowd]:
                client.close_if_idle()
        idle = [one for one, since in self._idle.items() if now - since > spared_ms]
        for client in idle[: len(self._idle) - self.idle_kept] if spared_ms == SPARED_MS else idle:
            client.close_if_idle()
        for client in [one for one, since in self._closing.items() if now - since > LINGER_MS]:
            if client.heard and now - client.closing_at_ms < LINGER_MOST_MS and not ending:
                client.heard = False
                self._closing[client] = self._closing.pop(client) + LINGER_MS
            else:
                client.drop()
