"""The gateway's connections to endpoints, and the attempts sent on them."""
