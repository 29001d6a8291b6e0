"""The interface of the decision package: settings, events and actions."""
