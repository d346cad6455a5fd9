"""Which servers are there."""
