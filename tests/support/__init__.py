"""Stand-ins and scenarios that tests share."""
