"""The decisions of the gateway, which depend on events and times alone and use only the standard library."""
