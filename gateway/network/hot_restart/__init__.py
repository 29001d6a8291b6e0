"""Hot restart: a successor takes over the service from its predecessor without an interruption."""
