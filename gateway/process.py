"""The life of one process: start, ready, reload, graceful shutdown."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
from dataclasses import replace

from gateway.config import Config, load_config
from gateway.errors import ConfigError
from gateway.network.admin.endpoint import AdminEndpoint
from gateway.network.discovery.watch import EndpointWatch
from gateway.network.gateway import Gateway
from gateway.network.hot_restart.coordinator import HotRestart

# First endpoint list timeout, s: how long the start waits for discovery before it uses the configured list.
FIRST_LIST_TIMEOUT_S = 0.5

# Guaranteed deadline, s: the platform waits at least this long, or the longest deadline if that is less,
# before it sends SIGKILL.
MAX_GUARANTEED_DEADLINE_S = 3.0

# Guaranteed extra time, s: added by the platform to the guaranteed deadline.
GUARANTEED_EXTRA_S = 0.7

# Shutdown margin, s: the shutdown is planned to end this long before SIGKILL may come.
SHUTDOWN_MARGIN_S = 0.5

# Draining time, s: connections are closed after their responses from this long before the planned end.
DRAINING_TIME_S = 1.0

# Minimum service time, s: how long new connections are accepted after SIGTERM, however early the planned end.
MIN_SERVICE_S = 0.6

# Finish timeout, s: bounds the wait for open requests, each of which has a guard timer or a stall timeout.
FINISH_TIMEOUT_S = 600.0

# Poll interval, s: how often the shutdown checks for open work.
POLL_INTERVAL_S = 0.02

# Signals that are blocked at the very end, when no handler is left for them.
HANDLED_SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)

log = logging.getLogger("gateway")


async def serve(config: Config) -> None:
    """Run one gateway until SIGTERM or SIGINT, then finish its open requests.

    Raises OSError if an address cannot be used.
    """
    process = GatewayProcess(config, asyncio.get_running_loop())
    process.handle_signals()
    await process.start()
    await process.wait_for_stop_signal()
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
            config.initial_endpoints.index if config.initial_endpoints.entries else None,
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
        """Open all sockets, wait for the first endpoint list, and take over from a predecessor.

        Raises OSError if an address cannot be used.
        """
        self._gateway.on_endpoint_list(self._config.initial_endpoints)
        await self._admin.open(self._config.admin_listen)
        await self._hot_restart.find()
        self._tasks = [
            self._loop.create_task(self._endpoint_watch.run()),
            self._loop.create_task(self._reload_on_request()),
        ]
        await self._wait_for_endpoint_list()
        # The objects made so far live as long as the process: the garbage collector skips them from now on.
        gc.collect()
        gc.freeze()
        await self._hot_restart.take_over()
        self._gateway.start_serving()
        log.info("gateway %s: ready", self._config.name)

    async def wait_for_stop_signal(self) -> None:
        """Wait for SIGTERM or SIGINT."""
        await self._stop_requested.wait()

    async def shut_down(self) -> None:
        """Serve until shortly before the planned end, finish open requests, and close everything."""
        await self._serve_until_draining()
        await self._finish_open_requests()
        await self._stop_tasks()
        self._gateway.gossip_socket.close()
        self._hot_restart.close_links()
        self._admin.close()
        # The event loop removes its signal handlers when it closes; a signal after that would end the process
        # with a wrong exit code. Once the executor's thread has ended, this mask covers the process.
        await self._loop.shutdown_default_executor()
        signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
        log.info("gateway %s: shutdown complete", self._config.name)

    async def _wait_for_endpoint_list(self) -> None:
        try:
            await asyncio.wait_for(self._endpoint_watch.list_received.wait(), FIRST_LIST_TIMEOUT_S)
        except TimeoutError:
            log.warning(
                "discovery: no endpoint list within %.1f s,"
                " starting with the configured list of %d endpoints",
                FIRST_LIST_TIMEOUT_S,
                len(self._config.initial_endpoints.entries),
            )

    async def _serve_until_draining(self) -> None:
        """Serve as before: after SIGTERM new connections still arrive, and peers still need this leader."""
        longest_s = max(known.deadline_ms for known in self._config.settings.classes) / 1000
        guaranteed_s = min(longest_s, MAX_GUARANTEED_DEADLINE_S) + GUARANTEED_EXTRA_S
        end_s = guaranteed_s - SHUTDOWN_MARGIN_S
        self._gateway.begin_shutdown(end_s * 1000)
        draining_at_s = self._loop.time() + max(MIN_SERVICE_S, end_s - DRAINING_TIME_S)
        while self._loop.time() < draining_at_s and self._is_needed():
            await asyncio.sleep(POLL_INTERVAL_S)

    def _is_needed(self) -> bool:
        return self._gateway.has_open_work() or not self._hot_restart.is_retired

    async def _finish_open_requests(self) -> None:
        await self._hot_restart.close()
        self._gateway.drain()
        self._gateway.frontend.close_idle()
        end_at_s = self._loop.time() + FINISH_TIMEOUT_S
        while self._gateway.continue_draining() and self._loop.time() < end_at_s:
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _stop_tasks(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _reload_on_request(self) -> None:
        """Reload the configuration on each request; an invalid file changes nothing."""
        while True:
            await self._reload_requested.wait()
            # Cleared before the file is read, so that a change during the read causes another one.
            self._reload_requested.clear()
            try:
                config = await asyncio.to_thread(load_config, os.environ)
            except ConfigError as error:
                log.error("configuration reload failed, keeping the current configuration: %s", error)
            else:
                self._apply(config)

    def _apply(self, config: Config) -> None:
        """Use the new address of discovery; no other setting can change while the process runs."""
        log.info("configuration reloaded: discovery at %s:%d", *config.discovery)
        if self._differs_beyond_discovery(config):
            log.warning(
                "configuration reload: changes other than the discovery address take effect at the next start"
            )
        self._endpoint_watch.set_address(config.discovery)

    def _differs_beyond_discovery(self, config: Config) -> bool:
        own = self._config
        return (
            replace(config, discovery=own.discovery, seed=own.seed, initial_endpoints=own.initial_endpoints)
            != own
        )
