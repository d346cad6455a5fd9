"""The replicated state: configuration, claims, quarantines and servers."""
