"""The adapter to the simulator, which lets it run the decision package: `python -m gateway.simulator`."""
