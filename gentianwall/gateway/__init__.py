"""Entries that route requests by configured routes: dispatch and refusals."""
