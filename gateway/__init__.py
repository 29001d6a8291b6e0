"""A gateway that admits requests by quota and forwards them to a fleet of endpoints."""

import os

# Before uvloop is loaded: libuv would hand its work to an io_uring whose kernel thread polls without rest.
# Seen in service: that thread (iou-sqp) alone took the gateway's whole share of a core for seconds on end.
os.environ["UV_USE_IO_URING"] = "0"
