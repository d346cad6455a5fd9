"""Which server gets the next call."""
