"""A gateway that admits requests by quota and forwards them to a fleet of endpoints."""

import os

# Set before uvloop is imported: the kernel thread (iou-sqp) of libuv's io_uring polls continuously and would
# use the gateway's share of a processor core.
os.environ["UV_USE_IO_URING"] = "0"
