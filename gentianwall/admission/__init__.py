"""Admission of calls: price tiers, queue order, retry and probe limits."""
