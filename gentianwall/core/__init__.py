"""Reducers of entries and control instances, their events and effects.

A reducer changes a state by one event and returns effects; it does no I/O. The
entries here serve the services of a declaration; the package `gateway` contains
the reducer of entries that route requests by configured routes.
"""
