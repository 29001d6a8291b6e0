"""A gateway that runs on the event loop of the test."""

import asyncio

from gateway.config import config_from
from gateway.network.admin.endpoint import AdminEndpoint
from gateway.network.clients.connection import ClientConnection
from gateway.network.gateway import Gateway
from support.addresses import HOST
from support.client import TestClient
from support.configurations import configuration


class RunningGateway:
    """A gateway with its client socket and its admin socket, on ports that the system chooses.

    `changes` are arguments of `configuration`.
    """

    def __init__(self, controller=None, **changes):
        self.controller = controller
        config = config_from(configuration(**changes), {})
        self.gateway = Gateway(config, asyncio.get_running_loop(), controller)
        self.gateway.on_endpoint_list(config.initial_endpoints)
        self.server = None

    async def __aenter__(self):
        """Open both sockets, and start to serve clients and admin calls."""
        self.server = await asyncio.get_running_loop().create_server(
            lambda: ClientConnection(self.gateway.frontend), HOST, 0
        )
        self.port = self.server.sockets[0].getsockname()[1]
        self.admin = AdminEndpoint(self.gateway)
        await self.admin.open((HOST, 0))
        self.admin_port = self.admin._server.sockets[0].getsockname()[1]
        self.gateway.start_serving()
        return self

    async def __aexit__(self, *_):
        """Stop accepting connections on both sockets; open connections stay open."""
        self.server.close()
        self.admin.close()

    async def connect(self):
        """Connect a client to the gateway, and return the client."""
        return await TestClient().connect(self.port)
