"""Endpoints: their records and directory, selection, slow start and outlier detection."""
