"""Drivers of the reducers: sockets, files and clocks around them."""
