"""HTTP interfaces for callers, servers, the platform and operators."""
