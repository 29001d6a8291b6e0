"""State transfer: a process exports its state, and its successor restores it, during a hot restart."""
