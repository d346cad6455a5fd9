"""Service discovery: announcements, leases and the registry of servers."""
