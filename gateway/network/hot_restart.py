"""One process of the gateway follows another while that one serves: what passes between the two.

They talk over a Unix socket in $TMPDIR, in packets whose first byte says what they are. The new process asks
for the service (T). The old one answers with its state (S, in parts) and the listening sockets (G), then with
each client's connection on which nothing is open (C). Messages of peers go either way (H).
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import os
import socket
import struct
from collections import deque
from collections.abc import Callable, Coroutine, Iterator, Sequence
from typing import Any

from gateway.interface.events import GossipReceived
from gateway.network.clients.connection import ClientConnection
from gateway.network.clients.connection_limiter import LimitedConnection
from gateway.network.gateway import Gateway
from gateway.network.gossip_socket import bound

ANSWER_S = 1.0  # for the whole answer of the process before; a mute one must not delay a start
PART, PACKET, MOST_FDS = 32 * 1024, 64 * 1024, 4
QUEUE_MOST = 1024  # messages of peers that wait to go out; more are lost, as any datagram may be
LEAST_SOCKETS = 64  # descriptors to begin with, however many the process before holds
BACKLOG = 1024

log = logging.getLogger(__name__)


class ProcessLink:
    """A connection between two processes of the gateway, in packets that may carry descriptors."""

    def __init__(self, loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
        self._loop, self._plug = loop, sock
        self._queue: deque[tuple[bytes, Sequence[int]]] = deque()  # with descriptors of ours to pass on
        self.heard: Callable[[bytes, list[int]], None] = lambda data, fds: None
        self.ended: Callable[[], None] = lambda: None
        self.closed = False
        loop.add_reader(sock, self._read)

    def send(self, data: bytes, fds: Sequence[int] = ()) -> None:
        """Send a packet; descriptors that go along are closed here once it is out."""
        self._queue.append((data, fds))
        if len(self._queue) == 1:
            self._write()

    def tell(self, sender: int, data: bytes) -> None:
        """A message of a peer, or of this process as if it were one."""
        if len(self._queue) < QUEUE_MOST:
            self.send(b"H" + struct.pack("<H", sender) + data)

    def _write(self) -> None:
        while self._queue and not self.closed:
            data, fds = self._queue[0]
            try:
                socket.send_fds(self._plug, [data], fds)
            except BlockingIOError:
                self._loop.add_writer(self._plug, self._write)
                return
            except OSError:
                self._loop.call_soon(self.close)
                return
            self._queue.popleft()
            for fd in fds:
                os.close(fd)
        if not self.closed:
            self._loop.remove_writer(self._plug)

    def _read(self) -> None:
        try:
            data, fds, _, _ = socket.recv_fds(self._plug, PACKET, MOST_FDS)
        except BlockingIOError:
            return
        except OSError:
            data, fds = b"", []
        if data:
            self.heard(data, fds)
        else:
            self.close()

    def close(self) -> None:
        if self.closed:
            return
        self.closed = True
        self._loop.remove_reader(self._plug)
        self._loop.remove_writer(self._plug)
        self._plug.close()
        for _, fds in self._queue:
            for fd in fds:
                os.close(fd)
        self._queue.clear()
        self.ended()


class HotRestart:
    """The clients' listening socket of this process, and what it has to do with the processes beside it."""

    def __init__(self, gateway: Gateway) -> None:
        self._gateway, self._config, self._loop = gateway, gateway.config, gateway.loop
        self._listener: socket.socket | None = None
        self._server: asyncio.Server | None = None
        self._rendezvous: socket.socket | None = None  # where the next process asks
        self._before: ProcessLink | None = None  # to the process before this one, while that runs
        self._next: ProcessLink | None = None  # to the one that follows
        self._answer: asyncio.Future[None] | None = None
        self._state = b""
        self._tasks: set[asyncio.Task[object]] = set()

    @property
    def is_retired(self) -> bool:
        """Whether another process serves now."""
        return self._next is not None

    # -- the new process

    async def find(self) -> None:
        """Look for a process that serves and may hand over. If none does, serve on own sockets at once."""
        if not self._config.private_folder:
            await self._open()
            return
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET | socket.SOCK_NONBLOCK)
        try:
            with self._path() as path:
                sock.connect(path)
        except OSError:  # nobody, a stale file, one that is stuck, or no folder to meet in
            sock.close()
            await self._open()
            return
        self._before = ProcessLink(self._loop, sock)

    async def take_over(self) -> None:
        """Ask the process before for the service. Where it doesn't answer in time, serve beside it."""
        before = self._before
        if before is None:
            return
        self._answer = self._loop.create_future()
        before.heard, before.ended = self._from_before, self._before_ended
        before.send(b"T")
        try:
            await asyncio.wait_for(self._answer, ANSWER_S)
        except (TimeoutError, OSError, ValueError, KeyError, TypeError) as problem:
            log.warning("the process before does not hand over: %r", problem)
            before.close()
            if self._server is None:
                await self._open()

    def _from_before(self, data: bytes, fds: list[int]) -> None:
        kind, data = data[:1], data[1:]
        if kind == b"S":
            self._state += data
        elif kind == b"G" and self._answer is not None and not self._answer.done():
            self._succeed(fds)
        elif kind == b"C" and fds:
            self._spawn(
                self._loop.connect_accepted_socket(
                    lambda: ClientConnection(self._gateway, is_transferred=True),
                    socket.socket(fileno=fds.pop()),
                )
            )
        elif kind == b"H":
            self._gateway.enqueue(GossipReceived(struct.unpack("<H", data[:2])[0], data[2:]))
        for fd in fds:
            os.close(fd)

    def _succeed(self, fds: list[int]) -> None:
        assert self._before is not None
        assert self._answer is not None
        try:
            state = json.loads(self._state)
            socks = [socket.socket(fileno=fd) for fd in fds]
            fds.clear()
            free = max(LEAST_SOCKETS, self._config.sockets - state["held"])
            self._gateway.take_over(state, self._before.tell, free)
            self._listener = socks[0]
            self._gateway.gossip_socket.open(self._loop, socks[1] if len(socks) > 1 else None)
        except Exception as problem:
            self._answer.set_exception(ValueError(problem))
            return
        self._state = b""
        self._spawn(self._listen(self._answer))

    async def _listen(self, done: asyncio.Future[None]) -> None:
        await self._serve()
        if not done.done():
            done.set_result(None)

    def _before_ended(self) -> None:
        self._before = None
        if self._answer is not None and not self._answer.done():
            self._answer.set_exception(ConnectionError("it ended"))
        else:
            self._gateway.on_predecessor_ended()

    # -- either

    def _spawn(self, work: Coroutine[Any, Any, object]) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _open(self) -> None:
        """Serve on sockets of our own."""
        self._listener = bound(socket.SOCK_STREAM, self._config.listen, self._config.shares_addresses)
        if self._gateway.gossip_socket.sock is None:
            self._gateway.gossip_socket.open(self._loop)
        await self._serve()

    async def _serve(self) -> None:
        """Accept clients, and wait for the process that follows."""
        assert self._listener is not None
        self._server = await self._loop.create_server(
            lambda: ClientConnection(self._gateway), sock=self._listener.dup(), backlog=BACKLOG
        )
        if self._config.private_folder:
            self._wait_for_next()

    @contextlib.contextmanager
    def _path(self) -> Iterator[str]:
        """Where the processes meet. By way of /proc: the path of a socket may hold 107 bytes only."""
        folder = os.open(self._config.private_folder, os.O_PATH | os.O_DIRECTORY)
        try:
            yield f"/proc/self/fd/{folder}/gatekeeper-{self._config.listen[0]}-{self._config.listen[1]}"
        finally:
            os.close(folder)

    def _wait_for_next(self) -> None:
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET | socket.SOCK_NONBLOCK)
        try:
            with self._path() as path:
                with contextlib.suppress(FileNotFoundError):
                    os.unlink(path)  # of a process that was killed, or of the one before this
                sock.bind(path)
                os.chmod(path, 0o600)
            sock.listen(4)
        except OSError as problem:
            sock.close()
            log.warning("no process can follow this one: %s", problem)
            return
        self._rendezvous = sock
        self._loop.add_reader(sock, self._called)

    def _close_rendezvous(self) -> None:
        if self._rendezvous is not None:
            self._loop.remove_reader(self._rendezvous)
            self._rendezvous.close()
            self._rendezvous = None

    def _stop_accepting(self) -> None:
        self._close_rendezvous()
        if self._server is not None:
            self._server.close()
            self._server = None

    # -- the old process

    def _called(self) -> None:
        assert self._rendezvous is not None
        try:
            sock, _ = self._rendezvous.accept()
        except OSError:
            return
        sock.setblocking(False)
        link = ProcessLink(self._loop, sock)
        link.heard = lambda data, fds: self._from_next(link, data)

    def _from_next(self, link: ProcessLink, data: bytes) -> None:
        if data[:1] == b"T" and not self.is_retired and self._gateway.ready:
            self._hand_over(link)
        elif data[:1] == b"T":  # it ends, or has handed over already: the other one need not wait for that
            link.close()
        elif data[:1] == b"H" and link is self._next:
            self._gateway.enqueue(GossipReceived(struct.unpack("<H", data[1:3])[0], data[3:]))

    def _hand_over(self, link: ProcessLink) -> None:
        """From here on the other one serves. What is open stays here until it is answered."""
        assert self._listener is not None
        self._next, link.ended = link, self._next_ended
        state = self._gateway.retire(link.tell, lambda client: self._move(link, self._gateway, client))
        self._stop_accepting()
        state["held"] = len(os.listdir("/proc/self/fd"))
        text = json.dumps(state).encode()
        for start in range(0, len(text), PART):
            link.send(b"S" + text[start : start + PART])
        socks = [sock for sock in (self._listener, self._gateway.gossip_socket.sock) if sock is not None]
        link.send(b"G", [os.dup(sock.fileno()) for sock in socks])
        self._gateway.hand_over_idle()
        log.info("another process of gateway %s serves now", self._config.name)

    @staticmethod
    def _move(link: ProcessLink, gateway: Gateway, client: LimitedConnection) -> None:
        """The other process goes on with the connection. Nothing of it has been read here, and nothing more
        will be: what the client sends meanwhile waits in the system for the other one.
        """
        transport = client.transport
        assert transport is not None
        transport.pause_reading()
        link.send(b"C", [os.dup(transport.get_extra_info("socket").fileno())])
        client.drop()
        gateway.connections.remove(client)

    def _next_ended(self) -> None:
        """The process that follows has gone. Unless this one is to end as well, it serves again."""
        self._next = None
        if self._gateway.ending:
            self._gateway.move = self._gateway.other = None
            return
        log.warning("the process that was to follow has ended: gateway %s serves on", self._config.name)
        self._gateway.resume_service()
        self._spawn(self._serve())

    async def close(self) -> None:
        """Accept nothing more than what waits in the queue: with the socket it would be reset, and with it
        the requests that may have been written to it.
        """
        self._stop_accepting()
        if self._listener is None:
            return
        for _ in range(
            0 if self.is_retired else BACKLOG
        ):  # the queue holds no more; a crowd may come without end
            try:
                sock, _ = self._listener.accept()
            except OSError:  # the queue is empty
                break
            sock.setblocking(False)
            await self._loop.connect_accepted_socket(lambda: ClientConnection(self._gateway), sock)
        self._listener.close()
        self._listener = None

    def close_links(self) -> None:
        """The end of this process."""
        for link in (self._before, self._next):
            if link is not None:
                link.ended = lambda: None
                link.close()
