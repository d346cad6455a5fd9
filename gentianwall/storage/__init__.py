"""Persistent storage of a control instance."""
