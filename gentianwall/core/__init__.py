"""Reducers of entries and control instances, their events and effects.

A reducer changes a state by one event and returns effects; it does no I/O.
"""
