"""Tests of the clock and the timers."""

import asyncio

from gateway.network.clock import Clock, Timers


async def test_timers_expire_in_the_order_of_their_times_and_never_early():
    loop = asyncio.get_running_loop()
    clock = Clock()
    timers = Timers(loop, clock)
    fired = []
    done = asyncio.Event()
    start = clock.now()

    def fire(at_ms):
        fired.append(at_ms)
        assert clock.now() >= start + at_ms
        if at_ms == 30.5:
            done.set()

    for at_ms in (30.5, 10.25, 20.0, 0.0):
        timers.call_at(start + at_ms, lambda at_ms=at_ms: fire(at_ms))
    timers.call_at(start + 15, lambda: fire(15)).cancel()
    await done.wait()
    assert fired == [0.0, 10.25, 20.0, 30.5]


async def test_callback_that_raises_does_not_prevent_other_timers():
    loop = asyncio.get_running_loop()
    clock = Clock()
    loop.set_exception_handler(lambda *_: None)
    timers = Timers(loop, clock)
    done = asyncio.Event()
    timers.call_at(clock.now(), lambda: 1 / 0)
    timers.call_at(clock.now(), done.set)
    await done.wait()


def test_clock_returns_unix_time_and_ignores_a_change_of_the_system_clock(monkeypatch):
    clock = Clock()
    first = clock.now()
    monkeypatch.setattr("time.time", lambda: 5.0)  # as if the system clock had been set back
    assert clock.now() >= first > 1.6e12
