"""Entries that follow routes: which request goes where, and when it may not."""
