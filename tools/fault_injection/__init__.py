"""Fault injection for gateway processes: clients, endpoints and faults on loopback, and checks of the rules.

`python -m tools.fault_injection --help` shows how to play seeded scenarios, and `docs/fault-injection.md`
describes the package for people who extend it.
"""
