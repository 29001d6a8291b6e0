"""The core round the decisions, as pure as they are: its turns, and the state that processes pass on."""
