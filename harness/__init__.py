"""Starts real processes for tests and measurements, on loopback only."""
