"""Benchmarks and long randomized runs; no test depends on their results."""
