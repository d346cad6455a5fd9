"""The pure reducers, with their events and effects."""
