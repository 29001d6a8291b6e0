"""The messages that gateways send each other."""
