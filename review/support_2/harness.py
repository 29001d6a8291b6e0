"""The stand-ins of the second review and the start of gateway processes, with the standard library only.

A case runs in one process that holds discovery, the endpoints and the clients. The gateways are processes of
their own, which the commands of the deploy file start. All addresses are loopback addresses.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
PORTS = (12_000, 31_000)  # below the ports that systems give to connections
READY_TIMEOUT_S = 30.0

HELD, BROKEN, CANNOT_RUN = 0, 1, 2

CLASSES: list[dict[str, Any]] = [
    {"name": "reading", "aimMs": 400.0, "deadlineMs": 2000.0, "worth": 2.0, "repeat": "retryable"},
    {
        "name": "schedule",
        "aimMs": 1200.0,
        "deadlineMs": 3000.0,
        "worth": 3.0,
        "repeat": "dedup",
        "keyScope": "zone",
        "dedupWindowMs": 2000.0,
    },
    {
        "name": "correction",
        "aimMs": 1500.0,
        "deadlineMs": 5000.0,
        "worth": 2.0,
        "lateWorth": 0.2,
        "repeat": "fragile",
    },
]


class CannotRunError(Exception):
    """The case could not be played."""


class Record:
    """What was sent, answered and run, in the order of time."""

    def __init__(self, path: pathlib.Path) -> None:
        """Begin the file anew."""
        self._file = path.open("w", encoding="utf-8")
        self._began_s = time.monotonic()

    def write(self, text: str) -> None:
        """Add a line with the seconds since the start."""
        self._file.write(f"{time.monotonic() - self._began_s:9.4f}  {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def free_port() -> int:
    """Return a TCP port of the loopback address that no socket has."""
    while True:
        port = random.SystemRandom().randint(*PORTS)
        with contextlib.suppress(OSError), socket.create_server((HOST, port)):
            return port


def settings(classes: list[dict[str, Any]], **limits: object) -> dict[str, Any]:
    """Return settings like those of the small deployment, with one gateway; `limits` replace its limits."""
    return {
        "azs": ["halle-a", "halle-b"],
        "balancers": 1,
        "myNumber": 0,
        "locality": "halle-a",
        "tickMs": 2.0,
        "discovery": "automatic",
        "classes": classes,
        "packages": [
            {"name": "pro", "perSecond": 25.0, "storeSize": 64.0, "valueFactor": 1.8, "overrunCost": 0.6}
        ],
        "domain": {"maxUnits": 3, "inboxPerS": 40.0},
        "limits": {
            "cancel": True,
            "secondCopies": True,
            "mayTell": True,
            "retryAfter": True,
            "maxRetryAfterMs": 1000.0,
            "maxAttempts": 5,
            "dialTimeoutMs": 250.0,
            "connIdleMs": 15000.0,
            **limits,
        },
        "rules": {
            "warmUpMs": 15000.0,
            "coldFrom": 0.27,
            "fallMultiple": 2.5,
            "tipAfterMs": 1500.0,
            "drainGraceMs": 2000.0,
            "answerSlackMs": 8.0,
        },
        "report": {"how": "none", "fields": []},
    }


# -- messages


@dataclass
class Message:
    """A request or an answer as it was received."""

    first_line: str
    fields: dict[str, str]
    body: bytes = b""
    is_whole: bool = True

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.first_line.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read the head of a message; raises IncompleteReadError if the connection ends before."""
    head = await reader.readuntil(b"\r\n\r\n")
    first_line, *lines = head.decode("latin-1").split("\r\n")[:-2]
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return Message(first_line, fields)


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message whose body has a Content-Length; `is_whole` is False if its body is cut off."""
    message = await read_head(reader)
    try:
        message.body = await reader.readexactly(int(message.fields.get("content-length", "0")))
    except asyncio.IncompleteReadError as error:
        message.body = error.partial
        message.is_whole = False
    except ConnectionError:
        message.is_whole = False
    return message


def answer(body: bytes) -> bytes:
    """Return an answer that serves a request."""
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


def request(
    class_name: str, request_id: str, wait_ms: int, *, customer: int = 1, key: str = "", body: bytes = b""
) -> bytes:
    """Return a client's request; `key` is its idempotency key."""
    method = "GET" if class_name == "reading" else "POST"
    lines = [
        f"{method} /{class_name} HTTP/1.1",
        "Host: api.internal",
        f"X-Request-Id: {request_id}",
        "X-Tier: pro",
        f"X-Api-Key: {customer:016x}",
        f"X-Deadline-Ms: {wait_ms}",
        "X-Call-Terms: units=1,spread=1,first=0",
    ]
    if key:
        lines.append(f"Idempotency-Key: {key}")
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


# -- servers

Handler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def cancel_all_tasks() -> None:
    """Cancel all tasks but the present one, and wait for their end."""
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def listen(handler: Handler, *, receive_buffer: int = 0) -> tuple[asyncio.Server, str]:
    """Serve connections on a free port, and return the server and its address."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await handler(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the peer or the case has ended the connection
        finally:
            writer.close()

    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if receive_buffer:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    sock.bind((HOST, free_port()))
    server = await asyncio.start_server(serve, sock=sock, backlog=256)
    host, port = sock.getsockname()
    return server, f"{host}:{port}"


class Discovery:
    """The agent on the gateway's machine: it pushes the list and its changes at once."""

    def __init__(self) -> None:
        """Start with an empty list."""
        self.address = ""
        self.entries: dict[str, dict[str, Any]] = {}
        self._index = 1
        self._changed_at: dict[str, int] = {}
        self._changed = asyncio.Event()

    async def start(self) -> None:
        """Listen."""
        _, self.address = await listen(self._serve)

    def set_entry(self, name: str, address: str, *, zone: str = "halle-a", status: str = "ready") -> None:
        """Add or change an entry, and tell it."""
        self._index += 1
        self.entries[name] = {
            "name": name,
            "address": address,
            "zone": zone,
            "type": "c2-fast",
            "group": 0,
            "status": status,
            "weight": 1.0,
            "since_ms": 0,
        }
        self._changed_at[name] = self._index
        self._changed.set()
        self._changed = asyncio.Event()

    def list(self, since: int | None = None) -> dict[str, Any]:
        """Return the whole list, or the changes since a version."""
        names = [name for name in self.entries if since is None or self._changed_at[name] > since]
        entries = [self.entries[name] for name in names]
        return {"index": self._index, "snapshot": since is None, "endpoints": entries}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            call = await read_head(reader)
            query = call.first_line.split(" ")[1].partition("?")[2]
            values = dict(part.split("=") for part in query.split("&") if part)
            since = int(values["since"]) if "since" in values else None
            if since is not None and since >= self._index:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), int(values["timeout_ms"]) / 1000)
            writer.write(answer(json.dumps(self.list(since)).encode()))
            await writer.drain()


# -- gateways


@dataclass
class Gateway:
    """One gateway process. Processes with the same port and folder replace each other."""

    record: Record
    discovery: str
    known: dict[str, Any]
    settings: dict[str, Any]
    folder: pathlib.Path
    port: int = field(default_factory=free_port)
    number: int = 0  # of the process, for its file names
    memory_mb: int = 128
    descriptors: int = 1024
    process: asyncio.subprocess.Process | None = None
    control: int = field(default_factory=free_port)

    async def start(self) -> None:
        """Start the process by the deploy file's command, and wait until it is ready."""
        config = {
            "name": "n0",
            "listen": f"{HOST}:{self.port}",
            "control": f"{HOST}:{self.control}",
            "discovery": self.discovery,
            "seed": f"{random.SystemRandom().getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.descriptors},
            "known": self.known,
            "settings": self.settings,
        }
        path = self.folder / f"config-{self.number}.json"
        path.write_text(json.dumps(config))
        temporary = self.folder / "tmp"
        temporary.mkdir(exist_ok=True)
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        environment = {
            **os.environ,
            "BALANCER_CONFIG": str(path),
            "BALANCER_NAME": "n0",
            "BALANCER_LISTEN": config["listen"],
            "BALANCER_DISCOVERY": self.discovery,
            "BALANCER_CONTROL": config["control"],
            "TMPDIR": str(temporary),
        }
        with (self.folder / f"log-{self.number}.txt").open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        give_up_s = time.monotonic() + READY_TIMEOUT_S
        while await self.call("/_ready") != 200:
            if self.process.returncode is not None or time.monotonic() > give_up_s:
                raise CannotRunError(f"the gateway was not ready: {self.log()}")
            await asyncio.sleep(0.02)
        self.record.write(f"gateway process {self.number} is ready")

    async def call(self, path: str) -> int:
        """Return the status of a call of the operators' door; 0 without an answer."""
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            async with asyncio.timeout(2):
                reader, writer = await asyncio.open_connection(HOST, self.control)
                writer.write(f"GET {path} HTTP/1.1\r\nHost: h\r\n\r\n".encode())
                status = (await read_head(reader)).status
                writer.close()
                return status
        return 0

    def log(self) -> str:
        """Return what the process has logged."""
        return (self.folder / f"log-{self.number}.txt").read_text()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, if the process runs."""
        if self.process is not None and self.process.returncode is None:
            self.record.write(f"{number.name} to gateway process {self.number}")
            self.process.send_signal(number)

    async def end(self, within_s: float) -> None:
        """Wait for the end of the process, and send SIGKILL after this time."""
        if self.process is None:
            return
        try:
            await asyncio.wait_for(self.process.wait(), within_s)
        except TimeoutError:
            self.signal(signal.SIGKILL)
            await self.process.wait()
        self.record.write(f"gateway process {self.number} ended with {self.process.returncode}")


# -- the play of a case


@dataclass
class Play:
    """What a case needs; all that it has started is ended afterwards."""

    record: Record
    folder: pathlib.Path
    has_trouble: bool
    discovery: Discovery = field(default_factory=Discovery)
    gateways: list[Gateway] = field(default_factory=list)

    async def start_gateway(self, values: dict[str, Any], port: int = 0, descriptors: int = 1024) -> Gateway:
        """Start one more gateway process."""
        gateway = Gateway(
            self.record,
            self.discovery.address,
            self.discovery.list(),
            values,
            self.folder,
            port=port or free_port(),
            number=len(self.gateways),
            descriptors=descriptors,
        )
        self.gateways.append(gateway)
        await gateway.start()
        return gateway


Case = Callable[[Play], Awaitable[list[str]]]


def run(case: Case, folder: pathlib.Path) -> int:
    """Play a case, which returns the breaks of its rule; return the exit status."""
    record = Record(folder / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"the disruption is {'on' if has_trouble else 'off (TROUBLE=0)'}")
    try:
        with tempfile.TemporaryDirectory() as temporary:
            status = asyncio.run(_play(case, record, pathlib.Path(temporary), has_trouble=has_trouble))
    except Exception as error:  # whatever keeps the case from being played
        record.write(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}", file=sys.stderr)
        status = CANNOT_RUN
    record.close()
    return status


async def _play(case: Case, record: Record, folder: pathlib.Path, *, has_trouble: bool) -> int:
    play = Play(record, folder, has_trouble)
    await play.discovery.start()
    try:
        async with asyncio.timeout(110):
            breaks = await case(play)
    finally:
        for gateway in play.gateways:
            if gateway.process is not None and gateway.process.returncode is None:
                gateway.process.kill()
                await gateway.process.wait()
        await cancel_all_tasks()
        for gateway in play.gateways:
            for line in gateway.log().splitlines()[:40]:
                record.write(f"log of process {gateway.number}: {line}")
    for text in breaks:
        record.write(f"RULE BROKEN: {text}")
        print(f"RULE BROKEN: {text}")
    record.write("the rule was broken" if breaks else "the rule held")
    print(f"{len(breaks)} breaks")
    return BROKEN if breaks else HELD
