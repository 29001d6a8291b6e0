"""The life of one process: start, ready, reload, graceful shutdown."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
from dataclasses import replace

from gateway.config import Config, load
from gateway.errors import ConfigError
from gateway.network.admin.endpoint import AdminEndpoint
from gateway.network.discovery.watch import EndpointWatch
from gateway.network.gateway import Gateway
from gateway.network.hot_restart import HotRestart

FIRST_SNAPSHOT_S = 0.5  # how long the first snapshot is waited for; after that the known list has to do
# After SIGTERM connections go on coming for up to 0.4 s, clients go on using those that they have, and peers
# find their customers' quota leader here. All this is served until it is time to finish: the longest
# deadline, of 3 s at most, and 0.7 s more are sure before SIGKILL.
MAX_SURE_DEADLINE_S = 3.0
SURE_BEYOND_DEADLINE_S = 0.7
SPARE_S = 0.5
CLOSING_S = 1.0  # so long before the end no connection is kept open any more,
MIN_SERVICE_S = 0.6  # but not sooner than this
FINISH_S = 600.0  # each request has its guard, so none waits longer
POLL_S = 0.02
SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)

log = logging.getLogger("gateway")


async def serve(config: Config) -> None:
    """Run one gateway until SIGTERM or SIGINT, then finish what it has taken.

    Raises OSError where an address can't be used.
    """
    process = GatewayProcess(config, asyncio.get_running_loop())
    process.handle_signals()
    await process.start()
    await process.until_told_to_stop()
    await process.shut_down()


class GatewayProcess:
    """One process of a gateway, and the order in which its parts start and end."""

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop) -> None:
        """Make the parts; nothing is opened yet."""
        settings = config.settings
        self._config = config
        self._loop = loop
        self._stop_requested = asyncio.Event()
        self._reload_requested = asyncio.Event()
        self._gateway = Gateway(config, loop)
        self._admin = AdminEndpoint(self._gateway)
        self._hot_restart = HotRestart(self._gateway)
        self._endpoint_watch = EndpointWatch(
            config.discovery,
            self._gateway.on_endpoint_list,
            config.known.index if config.known.entries else None,
            fleet_size=settings.gateways,
            seed=config.seed,
            is_pushed=not settings.must_subscribe,
            drain_grace_s=settings.drain_grace_ms / 1000,
        )
        self._tasks: list[asyncio.Task[None]] = []

    def handle_signals(self) -> None:
        """Shut down on SIGTERM and SIGINT, reload on SIGHUP."""
        for number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(number, self._stop_requested.set)
        self._loop.add_signal_handler(signal.SIGHUP, self._reload_requested.set)

    async def start(self) -> None:
        """Open all sockets, wait a little for the first snapshot, and follow a process that serves."""
        self._gateway.on_endpoint_list(self._config.known)
        await self._admin.open(self._config.control)
        await self._hot_restart.find()
        self._tasks = [
            self._loop.create_task(self._endpoint_watch.run()),
            self._loop.create_task(self._reload_on_request()),
        ]
        try:
            await asyncio.wait_for(self._endpoint_watch.list_received.wait(), FIRST_SNAPSHOT_S)
        except TimeoutError:
            log.warning("discovery is silent; starting with the known list")
        gc.collect()
        gc.freeze()  # what the start made stays: it need not be looked through again
        await self._hot_restart.take_over()
        self._gateway.ready = True
        log.info("gateway %s is up", self._config.name)

    async def until_told_to_stop(self) -> None:
        """Wait for SIGTERM or SIGINT."""
        await self._stop_requested.wait()

    async def shut_down(self) -> None:
        """Serve what still comes, then finish what is open, and close all."""
        await self._serve_until_closing()
        await self._finish_open_requests()
        await self._stop_tasks()
        self._gateway.gossip_socket.close()
        self._hot_restart.close_links()
        self._admin.close()
        # The loop takes its handlers away when it closes, and a signal that comes then would end the process.
        # With the thread that reads configurations gone, this mask is the whole process's.
        await self._loop.shutdown_default_executor()
        signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
        log.info("gateway %s has finished", self._config.name)

    async def _serve_until_closing(self) -> None:
        classes = self._config.settings.classes
        longest_s = max(known.deadline_ms for known in classes) / 1000
        end_s = min(longest_s, MAX_SURE_DEADLINE_S) + SURE_BEYOND_DEADLINE_S - SPARE_S
        self._gateway.begin_shutdown(end_s * 1000)
        closing_at = self._loop.time() + max(MIN_SERVICE_S, end_s - CLOSING_S)
        while self._loop.time() < closing_at and (
            self._gateway.has_open_work() or not self._hot_restart.is_retired
        ):
            await asyncio.sleep(POLL_S)

    async def _finish_open_requests(self) -> None:
        await self._hot_restart.close()
        self._gateway.drain()
        self._gateway.close_idle()
        end_at = self._loop.time() + FINISH_S
        while self._gateway.finishes() and self._loop.time() < end_at:
            await asyncio.sleep(POLL_S)

    async def _stop_tasks(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _reload_on_request(self) -> None:
        """Read the configuration anew whenever that is asked for.

        What can change in service is discovery's address; a file that can't be used changes nothing.
        """
        while True:
            await self._reload_requested.wait()
            self._reload_requested.clear()  # before the file is read: a later change is read once more
            try:
                config = await asyncio.to_thread(load, os.environ)
            except ConfigError as error:
                log.error("the configuration stays as it was: %s", error)
                continue
            log.info("the configuration was read anew: discovery at %s:%d", *config.discovery)
            if self._differs_beyond_discovery(config):
                log.warning("what else has changed in the configuration takes effect at the next start")
            self._endpoint_watch.set_address(config.discovery)

    def _differs_beyond_discovery(self, config: Config) -> bool:
        own = self._config
        return replace(config, discovery=own.discovery, seed=own.seed, known=own.known) != own
