"""The decisions on the simulator's wire: `python -m gateway.simulator`."""
