"""The entry point `python -m gateway`, configured by environment variables and a configuration file.

Exit codes: 0 after a graceful shutdown, 1 if an address cannot be used, 2 if the configuration is invalid.
"""

from __future__ import annotations

import logging
import os
import signal
import sys

from gateway.plain_tcp import use_placeholder_for_ssl

use_placeholder_for_ssl()

import uvloop  # noqa: E402

from gateway.config import load_config  # noqa: E402
from gateway.errors import ConfigError  # noqa: E402
from gateway.log_handler import NonBlockingHandler  # noqa: E402
from gateway.process import serve  # noqa: E402

EXIT_OK = 0
EXIT_ADDRESS_ERROR = 1
EXIT_CONFIG_ERROR = 2


def configure_logging() -> None:
    """Write log records from level INFO on to standard error; a stalled reader does not block the process."""
    # sys.stderr is None if the process was started with standard error closed. Nothing is logged in this
    # case, because descriptor 2 may then belong to another file, for example to a client's socket.
    handler = logging.NullHandler() if sys.stderr is None else NonBlockingHandler(sys.stderr.fileno())
    logging.basicConfig(
        handlers=[handler], level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s"
    )


def main() -> int:
    """Run one gateway process until a signal stops it, and return the exit code."""
    configure_logging()
    # A SIGHUP that arrives before its handler is installed would end the process. It is ignored instead: the
    # configuration that it asks to reload is read below.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        config = load_config(os.environ)
    except ConfigError as error:
        print(f"gateway: {error}", file=sys.stderr)
        return EXIT_CONFIG_ERROR
    try:
        uvloop.run(serve(config))
    except OSError as error:
        print(f"gateway: {error}", file=sys.stderr)
        return EXIT_ADDRESS_ERROR
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
