"""Tests of the signals that the fault injection sends to gateway processes."""

import asyncio
import signal

from support.addresses import HOST

from tools.fault_injection.gateway_process import GatewayPlan, GatewayProcess

PROCESSES = 50
SIGNALS_PER_TURN = 40
PAUSE_S = 0.001  # in which the event loop can collect the exit code


async def exit_codes(folder):
    """Send signals to processes until they have ended by themselves, and return their exit codes."""
    codes = []
    for _ in range(PROCESSES):
        gateway = GatewayProcess(GatewayPlan(), folder, f"{HOST}:9")
        gateway._process = await asyncio.create_subprocess_exec("true")
        while gateway.exit_code is None:
            for _ in range(SIGNALS_PER_TURN):
                gateway.send_signal(signal.SIGCONT)
            await asyncio.sleep(PAUSE_S)
        codes.append(gateway.exit_code)
    return codes


def test_signal_at_the_end_of_a_process_does_not_lose_its_exit_code(tmp_path):
    """Guards against a process that counts as crashed because a signal was sent when it ended.

    The command line of the fault injection runs on the standard event loop, like this test.
    """
    assert asyncio.run(exit_codes(tmp_path)) == [0] * PROCESSES
