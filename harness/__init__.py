"""Simulations, fake servers and processes for tests and benchmarks."""
