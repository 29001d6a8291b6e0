"""The lifecycle of one gateway process: start, readiness, configuration reload and graceful shutdown."""

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
from gateway.network.bound_socket import open_when_available
from gateway.network.discovery.watch import EndpointWatch
from gateway.network.gateway import Gateway
from gateway.network.hot_restart.coordinator import HotRestart

# Maximum time in seconds that the start of the process waits for an endpoint list from discovery. After that
# time the process serves with the endpoint list in its configuration.
FIRST_LIST_TIMEOUT_S = 0.5

# To stop a process, the platform sends SIGTERM, waits at least for the grace period, and then sends SIGKILL.
# The grace period is the longest deadline of all request classes plus GRACE_PERIOD_ALLOWANCE_S. A longest
# deadline above this many seconds counts as this value.
MAX_DEADLINE_IN_GRACE_PERIOD_S = 3.0

# Seconds by which the grace period, the guaranteed time between SIGTERM and SIGKILL, is longer than the
# longest deadline of all request classes.
GRACE_PERIOD_ALLOWANCE_S = 0.7

# The shutdown after SIGTERM is planned to end this many seconds before the platform may send SIGKILL.
SHUTDOWN_MARGIN_S = 0.5

# A process that shuts down starts to drain this many seconds before the planned end of its shutdown. While it
# drains, it accepts no new connections and closes each open connection after its current response.
PLANNED_DRAINING_TIME_S = 1.0

# Minimum time in seconds for which a process accepts new connections after SIGTERM, unless a successor has
# taken over. It applies even if draining then starts too late for the planned end of the shutdown.
MIN_SERVICE_AFTER_SIGTERM_S = 0.6

# Maximum time in seconds for which a draining process waits for its open requests and connections. Normally
# each request ends much earlier by its guard timer or its stall timeout. If one of them fails, this limit
# ends the process.
DRAINING_TIMEOUT_S = 600.0

# Interval in seconds at which a process that shuts down checks whether requests or connections are still
# open.
POLL_INTERVAL_S = 0.02

# Signals that the process handles. They are blocked before the event loop removes their handlers.
HANDLED_SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)

log = logging.getLogger("gateway")


async def serve(config: Config) -> None:
    """Run one gateway process until SIGTERM or SIGINT, and shut it down gracefully.

    Raises OSError if an address cannot be used.
    """
    process = GatewayProcess(config, asyncio.get_running_loop())
    process.handle_signals()
    await process.start()
    await process.wait_for_stop_signal()
    await process.shut_down()


class GatewayProcess:
    """Starts and stops the components of one gateway process in order."""

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop) -> None:
        """Create the components; open nothing yet."""
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
        """Install handlers: SIGTERM and SIGINT request a shutdown, SIGHUP requests a configuration reload."""
        for stop_signal in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(stop_signal, self._stop_requested.set)
        self._loop.add_signal_handler(signal.SIGHUP, self._reload_requested.set)

    async def start(self) -> None:
        """Open all sockets, wait for an endpoint list, take over from a predecessor, and become ready.

        Raises OSError if an address cannot be used.
        """
        self._gateway.on_endpoint_list(self._config.initial_endpoints)
        await open_when_available(lambda: self._admin.open(self._config.admin_listen))
        await self._hot_restart.connect_or_serve()
        self._tasks = [
            self._loop.create_task(self._endpoint_watch.run()),
            self._loop.create_task(self._reload_on_requests()),
        ]
        await self._wait_for_endpoint_list()
        # The objects created so far live as long as the process. Freezing them spares the garbage collector
        # from scanning them again.
        gc.collect()
        gc.freeze()
        await self._hot_restart.take_over()
        self._gateway.start_serving()
        log.info("gateway %s: ready", self._config.name)

    async def wait_for_stop_signal(self) -> None:
        """Return once SIGTERM or SIGINT has been received."""
        await self._stop_requested.wait()

    async def shut_down(self) -> None:
        """Serve until draining has to begin, finish the open requests, and stop all components."""
        await self._serve_until_draining()
        await self._finish_open_requests()
        await self._stop_tasks()
        self._gateway.gossip_socket.close()
        self._hot_restart.close_links()
        self._admin.close()
        # The event loop removes its signal handlers when it closes. A later signal would kill the process,
        # which would then not exit with code 0, so the signals are blocked first. The signal mask covers only
        # the calling thread. It is the only thread left once the executor has been shut down.
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
        """Keep serving after SIGTERM until draining has to begin.

        Clients still open new connections, and peers still depend on this gateway as a quota leader. The wait
        ends early if a successor serves and this process has no open request or client connection.
        """
        longest_deadline_s = (
            max(request_class.deadline_ms for request_class in self._config.settings.classes) / 1000
        )
        grace_period_s = min(longest_deadline_s, MAX_DEADLINE_IN_GRACE_PERIOD_S) + GRACE_PERIOD_ALLOWANCE_S
        time_left_s = grace_period_s - SHUTDOWN_MARGIN_S
        self._gateway.begin_shutdown(time_left_s * 1000)
        draining_at_s = self._loop.time() + max(
            MIN_SERVICE_AFTER_SIGTERM_S, time_left_s - PLANNED_DRAINING_TIME_S
        )
        while self._loop.time() < draining_at_s and self._has_to_serve():
            await asyncio.sleep(POLL_INTERVAL_S)

    def _has_to_serve(self) -> bool:
        return self._gateway.has_open_work() or not self._hot_restart.is_retired

    async def _finish_open_requests(self) -> None:
        await self._hot_restart.close_listeners()
        self._gateway.start_draining()
        self._gateway.frontend.close_idle_connections()
        give_up_at_s = self._loop.time() + DRAINING_TIMEOUT_S
        while self._continue_draining() and self._loop.time() < give_up_at_s:
            await asyncio.sleep(POLL_INTERVAL_S)

    def _continue_draining(self) -> bool:
        """Return whether draining has to go on; an error in one step does not end the process."""
        try:
            return self._gateway.continue_draining()
        except Exception as error:
            log.error("graceful shutdown: a step failed: %r", error, exc_info=error)
            return True

    async def _stop_tasks(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _reload_on_requests(self) -> None:
        """Reload the configuration after each SIGHUP; log an invalid one and keep the current one."""
        while True:
            await self._reload_requested.wait()
            # Cleared before the file is read, so that a SIGHUP during the read causes another reload.
            self._reload_requested.clear()
            try:
                self._apply_reloaded_config(load_config(os.environ))
            except ConfigError as error:
                log.error("configuration reload failed, keeping the current configuration: %s", error)
            except Exception as error:  # the next SIGHUP has to find this task running
                log.error("configuration reload failed unexpectedly: %r", error, exc_info=error)

    def _apply_reloaded_config(self, config: Config) -> None:
        """Use the discovery address of a reloaded configuration; log a warning if other values differ.

        The other values take effect only after a restart of the process.
        """
        log.info("configuration reloaded: discovery at %s:%d", *config.discovery)
        if self._differs_beyond_discovery(config):
            log.warning(
                "configuration reload: changes other than the discovery address take effect after a restart"
            )
        self._endpoint_watch.set_address(config.discovery)

    def _differs_beyond_discovery(self, config: Config) -> bool:
        # The seed and the configured endpoint list are used only when a process starts, so a change of either
        # does not count as a difference.
        current = self._config
        return (
            replace(
                config,
                discovery=current.discovery,
                seed=current.seed,
                initial_endpoints=current.initial_endpoints,
            )
            != current
        )
