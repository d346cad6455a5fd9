"""The replicated state: configuration, claims and quarantines."""
