"""What crosses the border of the decisions: settings, events, actions, records and plain containers."""
