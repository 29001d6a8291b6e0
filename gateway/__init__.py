"""A gateway that admits requests by quota and forwards them to a fleet of endpoints."""

import os

# Disables io_uring in libuv, which uvloop uses. With it, a kernel thread (iou-sqp) polls continuously and
# uses up the gateway's share of a processor core. The variable must be set before uvloop is imported.
os.environ["UV_USE_IO_URING"] = "0"
