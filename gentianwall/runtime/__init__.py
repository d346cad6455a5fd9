"""Drivers that connect the reducers to sockets, files and timers."""
