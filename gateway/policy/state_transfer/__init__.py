"""State transfer: the state that a process exports and its successor restores during a hot restart."""
