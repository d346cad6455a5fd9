"""Soak test: a fleet of real processes under random faults."""
