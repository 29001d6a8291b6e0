"""The program: `python -m gateway`."""

import sys

from gateway.process import main

if __name__ == "__main__":
    sys.exit(main())
