"""The interface of the decision package `gateway.policy`: its settings, events and actions."""
