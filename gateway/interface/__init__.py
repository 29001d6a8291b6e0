"""What crosses the border of the decisions: settings, events and actions."""
