"""Measures all memory of a gateway process beside a crowd: resident pages, files and socket buffers.

    python -m tools.fault_injection.memory_trial --memory 32 --descriptors 1024 --clients 400 --duration 60

The crowd is played by processes of its own; requests of ordinary clients beside it are checked by the rules.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import pathlib
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import AsyncIterator, Coroutine
from dataclasses import dataclass, field

from tools.fault_injection.client import Outcome, RequestPlan
from tools.fault_injection.endpoint import EndpointBehavior
from tools.fault_injection.fleet import Fleet, run_fleet
from tools.fault_injection.gateway_process import ROOT, GatewayPlan, GatewayProcess
from tools.fault_injection.mixed_crowd import Kind
from tools.fault_injection.rules import Break
from tools.fault_injection.socket_memory import gateway_socket_bytes

BYTES_PER_MB = 1024 * 1024
BLOCK_BYTES = 512  # unit in which the file system tells the space of a file
HARNESS_FILES = ("config-", "gateway-", "socket_buffers.so")  # prefixes of files that are not the gateway's
SAMPLE_INTERVAL_S = 0.1
REPORT_INTERVAL_S = 10.0
SHARE_PERIOD_S = 0.1  # in which the process runs for its share of a core, and is stopped for the rest
CROWD_PROCESSES = 3
ENDPOINT_COUNT = 10
REQUEST_WAIT_S = 1.0
REQUEST_INTERVAL_S = 0.05


@dataclass(frozen=True)
class MemorySample:
    """The memory of a gateway at one time, in MB."""

    resident: float
    files: float
    sockets: float

    @property
    def total(self) -> float:
        """The sum of all that counts."""
        return self.resident + self.files + self.sockets

    def __str__(self) -> str:
        """Return the sum and its parts."""
        parts = f"resident {self.resident:.1f}, files {self.files:.2f}, sockets {self.sockets:.2f}"
        return f"{self.total:.1f} MB ({parts})"


@dataclass
class TrialResult:
    """What a trial has measured; samples by the seconds since its begin."""

    limit_mb: int
    samples: list[tuple[float, MemorySample]] = field(default_factory=list)
    outcomes: list[Outcome] = field(default_factory=list)
    breaks: list[Break] = field(default_factory=list)
    exit_code: int | None = None  # None if the process still ran at the end
    max_player_lag_s: float = 0.0
    cpu_s: float = 0.0  # processor time that the gateway has used

    @property
    def peak(self) -> MemorySample:
        """The sample with the largest sum."""
        return max((sample for _, sample in self.samples), key=lambda sample: sample.total)

    def peak_between(self, begin_s: float, end_s: float) -> float:
        """Return the largest sum in MB in a part of the trial."""
        return max((sample.total for at_s, sample in self.samples if begin_s <= at_s < end_s), default=0.0)

    def __str__(self) -> str:
        """Return the peak of each interval, of the whole trial, and what became of the requests."""
        end_s = self.samples[-1][0] if self.samples else 0.0
        peaks = [
            f"{self.peak_between(begin * REPORT_INTERVAL_S, (begin + 1) * REPORT_INTERVAL_S):.1f}"
            for begin in range(int(end_s / REPORT_INTERVAL_S) + 1)
        ]
        statuses = Counter(str(outcome.status) for outcome in self.outcomes)
        rules = Counter(broken.rule.value for broken in self.breaks)
        sockets = max(sample.sockets for _, sample in self.samples)
        resident = max(sample.resident for _, sample in self.samples)
        return (
            f"limit {self.limit_mb} MB, peak {self.peak}, largest resident {resident:.1f}, largest sockets"
            f" {sockets:.2f}; each {REPORT_INTERVAL_S:.0f} s: {' '.join(peaks)}; exit code {self.exit_code};"
            f" requests {dict(statuses)}, broken rules {dict(rules)},"
            f" player lag {self.max_player_lag_s:.2f} s, processor time {self.cpu_s:.1f} s"
        )


@dataclass(frozen=True)
class Trial:
    """A gateway's settings, and the crowd beside it."""

    plan: GatewayPlan
    clients: int
    duration_s: float
    seed: int = 1
    kinds: tuple[Kind, ...] = tuple(Kind)
    new_customers: bool = False
    core_share: float = 1.0  # 1: a whole core
    endpoint_count: int = ENDPOINT_COUNT
    is_upgraded: bool = False  # whether a second process takes over after a third of the time

    async def run(self) -> TrialResult:
        """Play the crowd, and measure the memory meanwhile."""
        result = TrialResult(self.plan.memory_mb)
        with tempfile.TemporaryDirectory() as name:
            async with run_fleet(pathlib.Path(name), self.plan, endpoint_count=self.endpoint_count) as fleet:
                async with contextlib.AsyncExitStack() as stack:
                    gateways = [fleet.gateway]
                    folder = pathlib.Path(name)
                    await stack.enter_async_context(_running(_sample(fleet, gateways, folder, result)))
                    await stack.enter_async_context(_running(_measure_lag(result)))
                    if self.core_share < 1:
                        await stack.enter_async_context(_running(_share_core(fleet.gateway, self.core_share)))
                    if self.is_upgraded:
                        await stack.enter_async_context(_running(self._upgrade(fleet, gateways)))
                    crowd = asyncio.create_task(self._play_crowd(fleet.gateway.port))
                    result.outcomes = await fleet.send(self._requests(), REQUEST_INTERVAL_S)
                    await crowd
                    result.exit_code = gateways[-1].exit_code
                fleet.gateway.send_signal(signal.SIGCONT)
                result.cpu_s = fleet.gateway.cpu_s()
                answered = [outcome for outcome in result.outcomes if outcome.first_byte_s is not None]
                result.breaks = fleet.check(answered)
        return result

    async def _upgrade(self, fleet: Fleet, gateways: list[GatewayProcess]) -> None:
        """Let a second process take over, and end the first one as the platform does."""
        await asyncio.sleep(self.duration_s / 3)
        async with fleet.successor() as successor:
            gateways.append(successor)
            await fleet.gateway.shut_down()
            gateways.remove(fleet.gateway)
            await asyncio.Event().wait()  # until the trial ends

    def _requests(self) -> list[RequestPlan]:
        count = int(self.duration_s / REQUEST_INTERVAL_S)
        behavior = EndpointBehavior(work=0.02)
        return [
            RequestPlan(
                f"good-{self.seed}-{number}",
                "reading",
                REQUEST_WAIT_S,
                behavior,
                customer=10_000_000 + number if self.new_customers else 1,
            )
            for number in range(count)
        ]

    async def _play_crowd(self, port: int) -> None:
        arguments = [f"--port={port}", f"--duration={self.duration_s}", "--kinds"]
        arguments += [kind.value for kind in self.kinds]
        if self.new_customers:
            arguments.append("--new-customers")
        processes = [
            await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "tools.fault_injection.mixed_crowd",
                f"--clients={self.clients // CROWD_PROCESSES}",
                f"--seed={self.seed}-{number}",
                *arguments,
                cwd=ROOT,
            )
            for number in range(CROWD_PROCESSES)
        ]
        try:
            await asyncio.gather(*(process.wait() for process in processes))
        finally:
            for process in processes:
                if process.returncode is None:
                    process.kill()


def measure(gateways: list[GatewayProcess], endpoint_ports: list[int], folder: pathlib.Path) -> MemorySample:
    """Return the present memory of all processes of one gateway, whose files are in the folder.

    Pages that the processes share with files count once.
    """
    resident_mb = sum(gateway.memory_mb("RssAnon") for gateway in gateways)
    resident_mb += max(gateway.memory_mb("RssFile") + gateway.memory_mb("RssShmem") for gateway in gateways)
    files = [path for path in folder.rglob("*") if not path.name.startswith(HARNESS_FILES)]
    file_bytes = sum(path.lstat().st_blocks * BLOCK_BYTES for path in files)
    socket_bytes = gateway_socket_bytes(gateways[0].port, endpoint_ports)
    return MemorySample(resident_mb, file_bytes / BYTES_PER_MB, socket_bytes / BYTES_PER_MB)


async def _sample(
    fleet: Fleet, gateways: list[GatewayProcess], folder: pathlib.Path, result: TrialResult
) -> None:
    started_s = time.monotonic()
    ports = [endpoint.port for endpoint in fleet.endpoints]
    while True:
        result.samples.append((time.monotonic() - started_s, measure(gateways, ports, folder)))
        await asyncio.sleep(SAMPLE_INTERVAL_S)


async def _measure_lag(result: TrialResult) -> None:
    """Measure by how much the process that plays the ordinary clients is late."""
    while True:
        due_s = time.monotonic() + SAMPLE_INTERVAL_S
        await asyncio.sleep(SAMPLE_INTERVAL_S)
        result.max_player_lag_s = max(result.max_player_lag_s, time.monotonic() - due_s)


async def _share_core(gateway: GatewayProcess, share: float) -> None:
    """Let the process run for its share of each period, and stop it for the rest."""
    while True:
        gateway.send_signal(signal.SIGCONT)
        await asyncio.sleep(SHARE_PERIOD_S * share)
        gateway.send_signal(signal.SIGSTOP)
        await asyncio.sleep(SHARE_PERIOD_S * (1 - share))


@contextlib.asynccontextmanager
async def _running(coroutine: Coroutine[None, None, None]) -> AsyncIterator[None]:
    task = asyncio.create_task(coroutine)
    try:
        yield
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


def main() -> None:
    """Run a trial as the arguments say, and print what it measured."""
    parser = argparse.ArgumentParser(prog="python -m tools.fault_injection.memory_trial", description=__doc__)
    parser.add_argument("--memory", type=int, default=32, help="in MB")
    parser.add_argument("--descriptors", type=int, default=1024)
    parser.add_argument("--clients", type=int, default=400)
    parser.add_argument("--duration", type=float, default=30.0, help="in seconds")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--kinds", type=Kind, nargs="+", default=list(Kind), metavar="KIND")
    parser.add_argument("--new-customers", action="store_true")
    parser.add_argument("--core-share", type=float, default=1.0)
    parser.add_argument("--upgrade", action="store_true", help="let a second process take over")
    arguments = parser.parse_args()
    trial = Trial(
        GatewayPlan(arguments.memory, arguments.descriptors),
        arguments.clients,
        arguments.duration,
        arguments.seed,
        tuple(arguments.kinds),
        arguments.new_customers,
        arguments.core_share,
        is_upgraded=arguments.upgrade,
    )
    print(asyncio.run(trial.run()))


if __name__ == "__main__":
    main()
