"""The entry point of the adapter to the simulator: `python -m gateway.simulator`."""

import sys

from gateway.simulator.adapter import main

if __name__ == "__main__":
    sys.exit(main())
