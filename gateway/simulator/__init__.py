"""The adapter through which the simulator runs controllers: `python -m gateway.simulator`."""
