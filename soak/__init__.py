"""A randomized fault soak of a fleet of real processes."""
