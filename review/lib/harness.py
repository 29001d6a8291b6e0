"""Shared parts of the cases: the gateway process, discovery, an endpoint, a client and the record.

Everything uses the standard library, loopback addresses and ports that the system chooses.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
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
RULE_KEPT = 0  # exit code: the rule held
RULE_BROKEN = 1  # exit code: the rule was broken
SERVED = 200  # status of a served request
COULD_NOT_RUN = 2  # exit code: the case could not run
READY_TIMEOUT_S = 30.0  # a gateway that takes longer to be ready is a fault of the set-up here
STOP_TIMEOUT_S = 5.0  # time that a gateway gets to end after SIGTERM at the end of a case
MAX_LINE_BYTES = 64 * 1024  # limit of a stream reader's line, and its read-ahead


class CaseError(Exception):
    """The case could not be set up."""


class Record:
    """Writes what was sent, answered and run to `record.txt`, with the seconds since the start."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Replace the record of an earlier run in this folder."""
        self._started_s = time.monotonic()
        self._file = (folder / "record.txt").open("w", encoding="utf-8")

    def write(self, text: str) -> None:
        """Append one line."""
        self._file.write(f"{time.monotonic() - self._started_s:9.4f} {text}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Append one line, and print it as well."""
        self.write(text)
        print(text, flush=True)


@dataclass
class Request:
    """A request that an endpoint has received whole."""

    method: str
    target: str
    headers: dict[str, str]
    body_size: int
    received_s: float = field(default_factory=time.monotonic)

    @property
    def id(self) -> str:
        """The value of X-Request-Id."""
        return self.headers.get("x-request-id", "")


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the header fields of the next message; None at the end of the input."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = data.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(
    reader: asyncio.StreamReader, headers: dict[str, str], may_read: asyncio.Event | None = None
) -> int:
    """Read the body of a message, and return its size in bytes; do not read while `may_read` is cleared."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        size = 0
        while True:
            length = int((await reader.readline()).split(b";")[0], 16)
            await reader.readexactly(length + 2)
            if not length:
                return size
            size += length
    remaining = length = int(headers.get("content-length", "0"))
    while remaining:
        if may_read is not None:
            await may_read.wait()
        part = await reader.read(min(remaining, MAX_LINE_BYTES))
        if not part:
            raise asyncio.IncompleteReadError(b"", remaining)
        remaining -= len(part)
    return length


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request on a connection, once its last byte has come; None at the end of the input."""
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ", 2)
    try:
        size = await read_body(reader, head[1])
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return Request(method, target, head[1], size)


def response(body: bytes, status: str = "200 OK", fields: str = "") -> bytes:
    """Return the bytes of a response whose length is stated."""
    return f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n{fields}\r\n".encode() + body


Answer = Callable[[Request, asyncio.StreamWriter], Awaitable[None]]


class Server:
    """A stand-in that listens on a free port and answers each request by a function."""

    def __init__(self, answer: Answer) -> None:
        """Listen nowhere yet."""
        self._answer = answer
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[Any]] = set()
        self.port = 0
        self.receive_buffer = 0  # bytes of the receive buffer of a connection; 0: as the system sets it

    @property
    def address(self) -> str:
        """The address as host:port."""
        return f"{HOST}:{self.port}"

    async def start(self) -> None:
        """Start to listen."""
        sock = socket.socket()
        if self.receive_buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer)
        sock.bind((HOST, 0))
        self._server = await asyncio.start_server(self._serve, sock=sock, limit=MAX_LINE_BYTES)
        self.port = sock.getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        if task is not None:
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        try:
            while request := await read_request(reader):
                await self._answer(request, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass  # the peer has closed the connection, or the case ends
        finally:
            writer.close()

    async def stop(self) -> None:
        """Close the listening socket and all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


class Discovery(Server):
    """Discovery with a list that does not change: it answers a watch without a change when its time is up."""

    def __init__(self, endpoints: list[dict[str, Any]]) -> None:
        """Serve this list."""
        super().__init__(self._answer_call)
        self._endpoints = endpoints

    async def _answer_call(self, request: Request, writer: asyncio.StreamWriter) -> None:
        query = dict(part.split("=", 1) for part in request.target.partition("?")[2].split("&") if part)
        is_watch = "since" in query
        if is_watch:
            await asyncio.sleep(int(query.get("timeout_ms", "0")) / 1000)
        value = {"index": 1, "snapshot": not is_watch, "endpoints": [] if is_watch else self._endpoints}
        writer.write(response(json.dumps(value).encode()))
        await writer.drain()


def endpoint_entry(name: str, address: str, zone: str = "halle-a") -> dict[str, Any]:
    """Return a ready entry of discovery's list, of an endpoint that is warm."""
    return {
        "name": name,
        "address": address,
        "zone": zone,
        "type": "c2-fast",
        "group": 0,
        "status": "ready",
        "weight": 1.0,
        "since_ms": 0,
    }


def settings() -> dict[str, Any]:
    """Return the settings of a small deployment, in the form of the sample on the wire page."""
    return {
        "azs": ["halle-a", "halle-b"],
        "balancers": 1,
        "myNumber": 0,
        "locality": "halle-a",
        "tickMs": 2.0,
        "discovery": "automatic",
        "classes": [
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
            {"name": "correction", "aimMs": 1500.0, "deadlineMs": 5000.0, "worth": 2.0, "repeat": "fragile"},
        ],
        "packages": [{"name": "pro", "perSecond": 1000.0, "storeSize": 2000.0, "valueFactor": 1.8}],
        "domain": {"maxUnits": 6, "inboxPerS": 40.0},
        "limits": {
            "cancel": True,
            "secondCopies": True,
            "mayTell": True,
            "retryAfter": True,
            "maxRetryAfterMs": 1000.0,
            "maxAttempts": 5,
            "dialTimeoutMs": 250.0,
            "connIdleMs": 15000.0,
        },
        "rules": {
            "warmUpMs": 15000.0,
            "coldFrom": 0.27,
            "fallMultiple": 2.5,
            "tipAfterMs": 1500.0,
            "drainGraceMs": 2000.0,
        },
        "report": {"how": "none", "fields": []},
    }


def free_port() -> int:
    """Return a port of the loopback address on which nothing listens."""
    with socket.create_server((HOST, 0)) as probe:
        return int(probe.getsockname()[1])


class Gateway:
    """A gateway process, started by the `run` command of the deploy file."""

    def __init__(self, folder: pathlib.Path, **config: object) -> None:
        """Write its configuration file to `folder`; the arguments add or replace top-level values."""
        self.port = free_port()
        self.admin_port = free_port()
        self.config: dict[str, Any] = {
            "name": "n0",
            "listen": f"{HOST}:{self.port}",
            "control": f"{HOST}:{self.admin_port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
            "settings": settings(),
            **config,
        }
        self._folder = folder
        self._process: asyncio.subprocess.Process | None = None

    @property
    def pid(self) -> int:
        """The process id of the program that `run` started."""
        if self._process is None:
            raise CaseError("the gateway has not been started")
        return self._process.pid

    @property
    def exit_code(self) -> int | None:
        """The exit code; None while the process runs."""
        return None if self._process is None else self._process.returncode

    async def start(self) -> None:
        """Start the process, and wait until it answers `GET /up` with 200."""
        path = self._folder / "config.json"
        path.write_text(json.dumps(self.config))
        temporary = self._folder / "tmp"
        temporary.mkdir(exist_ok=True)
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        environment = {**os.environ, "BALANCER_CONFIG": str(path), "TMPDIR": str(temporary)}
        with (self._folder / "gateway.log").open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env=environment, stderr=log
            )
        give_up_s = time.monotonic() + READY_TIMEOUT_S
        while not await self.is_up():
            if time.monotonic() > give_up_s or self.exit_code is not None:
                raise CaseError("the gateway did not become ready")
            await asyncio.sleep(0.05)

    async def is_up(self) -> bool:
        """Return whether the gateway answers `GET /up` with 200 on a new connection within a second."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(b"GET /up HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        except (OSError, TimeoutError):
            return False

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it still runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def wait(self, timeout_s: float) -> bool:
        """Return whether the process ends within this time."""
        if self._process is None:
            return True
        try:
            await asyncio.wait_for(self._process.wait(), timeout_s)
        except TimeoutError:
            return False
        return True

    async def stop(self) -> bool:
        """End the process by SIGTERM, or by SIGKILL if it does not end in time; return whether it did."""
        self.send_signal(signal.SIGTERM)
        if await self.wait(STOP_TIMEOUT_S):
            return True
        self.send_signal(signal.SIGKILL)
        await self.wait(STOP_TIMEOUT_S)
        return False

    async def metrics(self) -> str:
        """Return the figures of the admin endpoint, without comments."""
        async with asyncio.timeout(2.0):
            reader, writer = await asyncio.open_connection(HOST, self.admin_port)
            writer.write(b"GET /_vars HTTP/1.1\r\nHost: h\r\n\r\n")
            text = (await reader.read(-1)).decode()
            writer.close()
        return " | ".join(line for line in text.splitlines() if line.startswith("edge_"))

    def anonymous_memory_mb(self) -> float:
        """Return the anonymous memory of the process, without files and shared pages."""
        with contextlib.suppress(OSError):
            for line in pathlib.Path(f"/proc/{self.pid}/status").read_text().splitlines():
                if line.startswith("RssAnon:"):
                    return int(line.split()[1]) / 1024
        return 0.0


def request_head(
    class_name: str,
    request_id: str,
    *,
    deadline_ms: int,
    length: int | None = None,
    customer: int = 1,
    fields: str = "",
) -> bytes:
    """Return the head of a client's request in the form of the protocol page; `length` makes it a POST."""
    method = "GET" if length is None else "POST"
    framing = "" if length is None else f"Content-Length: {length}\r\n"
    return (
        f"{method} /{class_name} HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: {request_id}\r\n"
        f"X-Tier: pro\r\nX-Api-Key: {customer:016x}\r\nX-Deadline-Ms: {deadline_ms}\r\n"
        f"X-Call-Terms: units=1,spread=1,first=0\r\n{framing}{fields}\r\n"
    ).encode()


async def answer_status(reader: asyncio.StreamReader) -> int | None:
    """Read one whole answer with a stated length; return its status, or None if the connection ends."""
    head = await read_head(reader)
    if head is None:
        return None
    try:
        await read_body(reader, head[1])
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return int(head[0].split(" ")[1])


Case = Callable[[Record, pathlib.Path, bool], Awaitable[bool]]


def run_case(script: str, case: Case) -> None:
    """Run a case and exit with its code.

    The case gets the record, a temporary folder and whether the disruption is on (`TROUBLE` is not 0). It
    returns whether the rule held.
    """
    record = Record(pathlib.Path(script).resolve().parent)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.say(f"disruption: {'on' if trouble else 'off'}")
    with tempfile.TemporaryDirectory() as folder:
        try:
            held = asyncio.run(case(record, pathlib.Path(folder), trouble))
        except Exception as error:  # an error of the set-up or of a stand-in says nothing about the rule
            record.say(f"the case could not run: {error!r}")
            sys.exit(COULD_NOT_RUN)
        finally:
            log = pathlib.Path(folder) / "gateway.log"
            if log.exists():
                for line in log.read_text(errors="replace").splitlines()[:200]:
                    record.write(f"gateway's log: {line}")
    record.say("the rule held" if held else "the rule was broken")
    sys.exit(RULE_KEPT if held else RULE_BROKEN)
