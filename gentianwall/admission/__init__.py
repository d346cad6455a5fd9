"""Which call is accepted, at which price, and in which order."""
