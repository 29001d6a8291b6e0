"""Gateway processes that are started by the deploy file's `run` command, their signals and their memory."""

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
import time
import tomllib
from dataclasses import dataclass
from typing import Any

from tools.fault_injection.stream import HOST, Stream, parse_head

ROOT = pathlib.Path(__file__).resolve().parents[2]
READY_TIMEOUT_S = 30.0  # a gateway that takes longer has failed to start
READY_POLL_S = 0.02  # time between two readiness requests
SAMPLE_INTERVAL_S = 0.005  # time between two samples of the memory
KB_PER_MB = 1024
FREE_PORTS = (12_000, 32_000)  # first and last port that `free_port` returns
MAX_GRACE_DEADLINE_S = 3.0  # a longer deadline counts as this much for the time between SIGTERM and SIGKILL
GRACE_ALLOWANCE_S = 0.7  # time from the longest deadline to SIGKILL


class StartError(Exception):
    """The gateway has ended, or was not ready in time."""


@dataclass(frozen=True)
class ClassSettings:
    """One request class of the gateway's settings; times in seconds."""

    name: str
    repeat: str  # retryable, dedup or fragile
    deadline_s: float = 5.0
    deduplication_window_s: float = 5.0

    def to_json(self) -> dict[str, Any]:
        """Return the class as an entry of the settings."""
        return {
            "name": self.name,
            "aimMs": self.deadline_s * 500,
            "deadlineMs": self.deadline_s * 1000,
            "worth": 2.0,
            "repeat": self.repeat,
            "keyScope": "all",
            "dedupWindowMs": self.deduplication_window_s * 1000,
        }


DEFAULT_CLASSES = (
    ClassSettings("reading", "retryable", 2.0),
    ClassSettings("correction", "fragile", 5.0),
)


@dataclass(frozen=True)
class GatewayPlan:
    """The configuration of a gateway process."""

    memory_mb: int = 64
    descriptors: int = 256
    classes: tuple[ClassSettings, ...] = DEFAULT_CLASSES
    seed: int = 1
    quota_per_s: float = 5000.0  # quota of each customer, in units a second
    plan_fields: tuple[tuple[str, float], ...] = ()  # further fields of the customers' plan
    preload: str = ""  # path of the library that limits the socket buffers of the process; empty: none
    preload_buffer_bytes: int = 0  # the size to which it limits them

    def to_json(self, port: int, admin_port: int, discovery: str) -> dict[str, Any]:
        """Return the configuration of a single gateway with these addresses."""
        plan = {"name": "basic", "perSecond": self.quota_per_s, "storeSize": 2 * self.quota_per_s}
        return {
            "name": "n0",
            "listen": f"{HOST}:{port}",
            "control": f"{HOST}:{admin_port}",
            "discovery": discovery,
            "seed": f"{self.seed:016x}",
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.descriptors},
            "settings": {
                "azs": ["a"],
                "balancers": 1,
                "myNumber": 0,
                "locality": "a",
                "tickMs": 2.0,
                "discovery": "automatic",
                "classes": [request_class.to_json() for request_class in self.classes],
                "packages": [{**plan, **dict(self.plan_fields)}],
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
                    "warmUpMs": 0.0,
                    "coldFrom": 1.0,
                    "fallMultiple": 2.5,
                    "tipAfterMs": 1500.0,
                    "drainGraceMs": 2000.0,
                },
                "report": {"how": "none", "fields": []},
            },
        }

    @property
    def grace_s(self) -> float:
        """The least time between SIGTERM and SIGKILL."""
        longest_s = max(request_class.deadline_s for request_class in self.classes)
        return min(longest_s, MAX_GRACE_DEADLINE_S) + GRACE_ALLOWANCE_S


class GatewayProcess:
    """One gateway process; processes with the same folder and port hand over to each other."""

    def __init__(self, plan: GatewayPlan, folder: pathlib.Path, discovery: str, port: int = 0) -> None:
        """Prepare a process that keeps its files in `folder`; by default it listens on a free port."""
        self.plan = plan
        self.port = port or free_port()
        self.admin_port = free_port()
        self.peak_resident_mb = 0.0
        self._folder = folder
        self._config = plan.to_json(self.port, self.admin_port, discovery)
        self._process: asyncio.subprocess.Process | None = None
        self._sampling: asyncio.Task[None] | None = None

    async def __aenter__(self) -> GatewayProcess:
        """Start the process, wait until it is ready, and sample its memory from now on."""
        path = self._folder / f"config-{self.admin_port}.json"
        path.write_text(json.dumps(self._config))
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        command = command.replace(".venv/bin/python", sys.executable)
        environment = {**os.environ, "BALANCER_CONFIG": str(path), "TMPDIR": str(self._folder)}
        if self.plan.preload:
            environment["LD_PRELOAD"] = self.plan.preload
            environment["BUFFER_BYTES"] = str(self.plan.preload_buffer_bytes)
        with self.log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=environment, stderr=log
            )
        give_up_s = time.monotonic() + READY_TIMEOUT_S
        while await self.call_admin("/_ready") != 200:
            if time.monotonic() > give_up_s or self.exit_code is not None:
                raise StartError(f"the gateway was not ready within {READY_TIMEOUT_S:.0f} s")
            await asyncio.sleep(READY_POLL_S)
        self._sampling = asyncio.create_task(self._sample_memory())
        return self

    async def __aexit__(self, *_: object) -> None:
        """Kill the process, if it still runs."""
        if self._sampling is not None:
            self._sampling.cancel()
        self.send_signal(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()

    @property
    def log_path(self) -> pathlib.Path:
        """The file to which the process logs."""
        return self._folder / f"gateway-{self.admin_port}.log"

    @property
    def exit_code(self) -> int | None:
        """The exit code of the process; None while it runs."""
        return None if self._process is None else self._process.returncode

    @property
    def pid(self) -> int:
        """The id of the process; raises StartError if it has not been started."""
        if self._process is None:
            raise StartError("the gateway has not been started")
        return self._process.pid

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it still runs.

        `Process.send_signal` would collect the exit code of a process that has just ended, and the event loop
        would report 255 in its place.
        """
        if self._process is not None and self._process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self._process.pid, number)

    async def shut_down(self) -> bool:
        """Send SIGTERM, and SIGKILL at the earliest time the platform may; return whether it was needed."""
        self.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self._process.wait(), self.plan.grace_s)  # type: ignore[union-attr]
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            await self._process.wait()  # type: ignore[union-attr]
            return True
        return False

    async def call_admin(self, target: str) -> int:
        """Return the status of a call of the admin endpoint, or 0 if there is no answer within 2 s."""
        status, _ = await self._call_admin(target)
        return status

    async def metrics(self) -> dict[str, float]:
        """Return all metrics by their names with labels; empty if there is no answer within 2 s."""
        text = "".join([(await self._call_admin(target))[1] for target in ("/_vars", "/_diagnostics")])
        lines = [line.rsplit(" ", 1) for line in text.splitlines() if line and not line.startswith("#")]
        return {name: float(value) for name, value in lines}

    async def _call_admin(self, target: str) -> tuple[int, str]:
        try:
            async with asyncio.timeout(2.0):
                stream = await Stream.connect(self.admin_port)
                with contextlib.closing(stream):
                    await stream.write(f"GET {target} HTTP/1.1\r\nHost: h\r\n\r\n".encode())
                    first_line, _ = parse_head(await stream.read_until(b"\r\n\r\n"))
                    body = b""
                    while part := await stream.read():
                        body += part
                    return int(first_line.split(" ")[1]), body.decode()
        except (OSError, TimeoutError):
            return 0, ""

    def memory_mb(self, field: str = "VmRSS") -> float:
        """Return a size from the process's status in MB, 0 if it has ended; VmRSS is all resident memory."""
        with contextlib.suppress(OSError):
            for line in pathlib.Path(f"/proc/{self.pid}/status").read_text().splitlines():
                if line.startswith(f"{field}:"):
                    return int(line.split()[1]) / KB_PER_MB
        return 0.0

    def cpu_s(self) -> float:
        """Return the processor time that the process has used in seconds, 0 if it has ended."""
        with contextlib.suppress(OSError):
            fields = pathlib.Path(f"/proc/{self.pid}/stat").read_text().rsplit(")", 1)[1].split()
            return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
        return 0.0

    async def _sample_memory(self) -> None:
        while self.exit_code is None:
            self.peak_resident_mb = max(self.peak_resident_mb, self.memory_mb("VmHWM"))
            await asyncio.sleep(SAMPLE_INTERVAL_S)


def free_port() -> int:
    """Return a TCP port of the loopback address that no socket has.

    The port is below those that the system gives to connections, so none takes it before it is used.
    """
    while True:
        port = random.SystemRandom().randint(*FREE_PORTS)
        with contextlib.suppress(OSError), socket.create_server((HOST, port)):
            return port
