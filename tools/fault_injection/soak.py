"""Plays seeded scenarios against gateway processes, and checks the rules.

A seed determines the requests, the faults, the signals and their times. Each scenario ends with SIGTERM,
after which clients go on using their open connections until the process has ended or the earliest SIGKILL.
"""

from __future__ import annotations

import asyncio
import math
import pathlib
import random
import signal
import tempfile
import time
from dataclasses import dataclass, field, replace

from tools.fault_injection.client import Outcome, RequestPlan, send_request
from tools.fault_injection.crowd import run_crowd
from tools.fault_injection.endpoint import CHUNKED, CLOSE, LENGTH, EndpointBehavior
from tools.fault_injection.fleet import Fleet, run_fleet
from tools.fault_injection.gateway_process import ClassSettings, GatewayPlan, GatewayProcess
from tools.fault_injection.memory_trial import measure
from tools.fault_injection.preload import build_socket_buffers
from tools.fault_injection.rules import Break, Rule, check, duplicates
from tools.fault_injection.stream import Stream

DURATION_S = 5.0  # from the start of the requests to SIGTERM
REQUEST_INTERVAL_S = 0.04  # between the starts of two requests on connections of their own
KEPT_CONNECTIONS = 6
KEPT_PAUSE_S = 0.03  # between the answer and the next request on a kept connection
CLASSES = (
    ClassSettings("reading", "retryable", 2.0),
    ClassSettings("schedule", "dedup", 2.0),
    ClassSettings("correction", "fragile", 3.0),
)
NON_IDEMPOTENT = {"correction"}
MAX_ANSWER_DURATION_S = 2.4  # less than the time between SIGTERM and SIGKILL
MIN_SERVICE_S = 0.4  # time after SIGTERM for which new connections keep coming
SHIM_BUFFER_BYTES = 16 * 1024
MEMORY_INTERVAL_S = 0.1  # time between two samples of all memory
MIN_UPGRADE_MEMORY_MB = 64  # least limit that both processes of an upgrade keep together with any descriptors


@dataclass(frozen=True)
class Scenario:
    """What a seed determines, except for the single requests."""

    seed: int
    memory_mb: int
    descriptors: int
    endpoint_buffer: int  # receive buffer of the endpoints in bytes; 0: the system's default
    has_small_buffers: bool  # whether the gateway's own socket buffers are small
    crowd: int  # clients of the crowd; 0: none
    is_upgraded: bool  # whether a second process takes over
    hangups: int  # SIGHUPs in a row
    terminations: int  # SIGTERMs in a row at the end

    @classmethod
    def from_seed(cls, seed: int) -> Scenario:
        """Draw a scenario."""
        rng = random.Random(seed)
        return cls(
            seed=seed,
            memory_mb=rng.choice((32, 48, 64, 96, 192)),
            descriptors=rng.choice((256, 512, 1024)),
            endpoint_buffer=rng.choice((0, 4096, 16384)),
            has_small_buffers=rng.random() < 0.5,
            crowd=rng.choice((0, 0, 0, 120, 300)),
            is_upgraded=rng.random() < 0.4,
            hangups=rng.choice((0, 0, 1, 5)),
            terminations=rng.choice((1, 1, 4)),
        )


@dataclass
class SoakResult:
    """What became of the requests of one scenario."""

    scenario: Scenario
    breaks: list[Break] = field(default_factory=list)
    requests: int = 0
    served: int = 0
    peak_resident_mb: float = 0.0
    peak_total_mb: float = 0.0  # of all processes, with files and socket buffers

    def __str__(self) -> str:
        """Return the result in one line, and a line for each break."""
        lines = [
            f"seed {self.scenario.seed}: {self.requests} requests, {self.served} served,"
            f" peak {self.peak_resident_mb:.1f} resident, {self.peak_total_mb:.1f} in all"
            f" of {self.scenario.memory_mb} MB, {len(self.breaks)} breaks"
        ]
        return "\n  ".join([*lines, *map(str, self.breaks)])


async def play(seed: int) -> SoakResult:
    """Play the scenario of a seed; takes about DURATION_S and the time of the shutdown."""
    scenario = Scenario.from_seed(seed)
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        plan = GatewayPlan(scenario.memory_mb, scenario.descriptors, CLASSES, seed)
        if scenario.has_small_buffers:
            plan = replace(plan, preload=build_socket_buffers(folder), preload_buffer_bytes=SHIM_BUFFER_BYTES)
        async with run_fleet(folder, plan, receive_buffer=scenario.endpoint_buffer) as fleet:
            return await _Player(scenario, fleet, folder).play()


class _Player:
    """Plays one scenario on a fleet."""

    def __init__(self, scenario: Scenario, fleet: Fleet, folder: pathlib.Path) -> None:
        self._scenario = scenario
        self._folder = folder
        self._gateways = [fleet.gateway]
        self._fleet = fleet
        self._rng = random.Random(f"requests {scenario.seed}")
        self._outcomes: list[Outcome] = []
        self._kept_outcomes: list[Outcome] = []
        self._has_ended = False
        self._result = SoakResult(scenario)
        self._serial = 0
        self._terminated_s = math.inf  # when the last process got SIGTERM

    async def play(self) -> SoakResult:
        scenario = self._scenario
        gateway = self._fleet.gateway
        kept = [asyncio.create_task(self._use_kept_connection()) for _ in range(KEPT_CONNECTIONS)]
        crowd = asyncio.create_task(run_crowd(gateway.port, scenario.crowd, DURATION_S))
        requests = asyncio.create_task(self._send_requests())
        sampling = asyncio.create_task(self._sample_memory())
        await asyncio.sleep(DURATION_S / 3)
        for _ in range(scenario.hangups):
            gateway.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.05)
        if scenario.is_upgraded:
            async with self._fleet.successor() as successor:
                self._gateways.append(successor)
                await self._shut_down(gateway)
                await requests
                self._terminated_s = time.monotonic()
                await self._shut_down(successor)
                self._note_memory(successor)
        else:
            await requests
            self._terminated_s = time.monotonic()
            await self._shut_down(gateway)
        self._has_ended = True
        sampling.cancel()
        await asyncio.gather(*kept, crowd)
        self._check()
        return self._result

    async def _shut_down(self, gateway: GatewayProcess) -> None:
        for _ in range(self._scenario.terminations - 1):
            gateway.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.02)
        self._note_memory(gateway)
        await gateway.shut_down()
        if gateway.exit_code not in (0, -signal.SIGKILL):
            self._result.breaks.append(Break(Rule.CRASH, f"exit code {gateway.exit_code}"))

    async def _sample_memory(self) -> None:
        """Record the largest sum of all memory of the processes that run."""
        ports = [endpoint.port for endpoint in self._fleet.endpoints]
        while True:
            sample = measure(self._gateways, ports, self._folder)
            self._result.peak_total_mb = max(self._result.peak_total_mb, sample.total)
            await asyncio.sleep(MEMORY_INTERVAL_S)

    def _check_memory(self) -> None:
        total_mb = self._result.peak_total_mb
        scenario = self._scenario
        may_exceed = scenario.is_upgraded and scenario.memory_mb < MIN_UPGRADE_MEMORY_MB
        if total_mb > scenario.memory_mb and not may_exceed:
            self._result.breaks.append(Break(Rule.MEMORY, f"{total_mb:.1f} MB in all"))

    def _note_memory(self, gateway: GatewayProcess) -> None:
        peak_mb = gateway.memory_mb("VmHWM")
        self._result.peak_resident_mb = max(self._result.peak_resident_mb, peak_mb)
        if peak_mb > self._scenario.memory_mb:
            self._result.breaks.append(Break(Rule.MEMORY, f"{peak_mb:.1f} MB resident"))

    async def _send_requests(self) -> None:
        tasks = []
        end_s = time.monotonic() + DURATION_S
        while time.monotonic() < end_s:
            plan = self._draw_request()
            tasks.append(asyncio.create_task(send_request(self._fleet.gateway.port, plan)))
            if plan.leave_after_s is not None and self._rng.random() < 0.5:
                again = replace(plan, leave_after_s=None)
                tasks.append(asyncio.create_task(self._send_again(again, plan.leave_after_s)))
            await asyncio.sleep(REQUEST_INTERVAL_S)
        self._outcomes += await asyncio.gather(*tasks)

    async def _send_again(self, plan: RequestPlan, delay_s: float) -> Outcome:
        await asyncio.sleep(delay_s + self._rng.choice((0.01, 0.3, 1.0)))
        return await send_request(self._fleet.gateway.port, plan)

    def _next_id(self) -> str:
        self._serial += 1
        return f"{self._scenario.seed:06x}{self._serial:010x}"

    def _draw_request(self) -> RequestPlan:
        rng = self._rng
        wait_s = rng.uniform(0.5, 1.8)
        kind = rng.random()
        if kind < 0.5:
            behavior = EndpointBehavior(work=rng.choice((0.0, 0.02, 0.1)), size=rng.choice((0, 3000, 60_000)))
            plan = RequestPlan(self._next_id(), "reading", wait_s, behavior)
        elif kind < 0.65:
            behavior = rng.choice(
                (
                    EndpointBehavior(read=rng.uniform(7e4, 1.3e6)),
                    EndpointBehavior(stop=rng.randint(0, 300_000)),
                    EndpointBehavior(),
                )
            )
            size = int(rng.choice((rng.uniform(2.7e5, 1e6), rng.uniform(1e6, 6e6))))
            is_chunked = rng.random() < 0.5
            plan = RequestPlan(self._next_id(), "correction", wait_s, behavior, size, is_chunked)
        elif kind < 0.75:
            size = rng.randint(66_000, 200_000)
            behavior = EndpointBehavior(
                size=size,
                rate=size / rng.uniform(0.3, MAX_ANSWER_DURATION_S),
                framing=rng.choice((CHUNKED, CLOSE, LENGTH)),
                pause=rng.choice((0.0, 0.3)),
            )
            plan = RequestPlan(self._next_id(), "reading", wait_s, behavior)
        else:
            behavior = EndpointBehavior(work=rng.choice((0.0, 0.1, 0.3)))
            plan = RequestPlan(
                self._next_id(), "correction", wait_s, behavior, rng.choice((10, 5000, 250_000))
            )
        if rng.random() < 0.1:
            return replace(plan, leave_after_s=rng.uniform(0.0, 0.3), leaves_by_reset=rng.random() < 0.5)
        return plan

    async def _use_kept_connection(self) -> None:
        """Send requests one after another, on a new connection once the gateway has closed the last one."""
        stream: Stream | None = None
        while not self._has_ended:
            is_new = stream is None
            try:
                stream = stream or await Stream.connect(self._fleet.gateway.port)
            except OSError:
                await asyncio.sleep(KEPT_PAUSE_S)
                continue
            plan = RequestPlan(self._next_id(), "reading", 1.0, EndpointBehavior(work=0.01))
            outcome = await send_request(self._fleet.gateway.port, plan, stream)
            # A close may cross a request on a used connection, which its client may send again.
            if outcome.first_byte_s is not None or is_new:
                self._kept_outcomes.append(outcome)
            if not outcome.is_complete:
                stream = None
            await asyncio.sleep(KEPT_PAUSE_S)
        if stream is not None:
            stream.close()

    def _may_be_refused(self, outcome: Outcome) -> bool:
        """Return whether a new connection may have been shut unread: in a crowd, or by the last process."""
        is_unanswered = outcome.first_byte_s is None and outcome.left_s is None
        return is_unanswered and (
            self._scenario.crowd > 0 or outcome.started_s > self._terminated_s + MIN_SERVICE_S
        )

    def _check(self) -> None:
        self._check_memory()
        executions = self._fleet.executions
        outcomes = self._outcomes + self._kept_outcomes
        breaks = check([outcome for outcome in outcomes if not self._may_be_refused(outcome)], executions)
        unique = {outcome.plan.request_id: outcome for outcome in outcomes}.values()
        self._result.breaks += breaks + duplicates(unique, executions, NON_IDEMPOTENT)
        self._result.requests = len(outcomes)
        self._result.served = sum(outcome.status == 200 for outcome in outcomes)
