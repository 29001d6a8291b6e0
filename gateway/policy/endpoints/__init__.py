"""Endpoints: the table of them, their selection, slow start and outlier detection."""
