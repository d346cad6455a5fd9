"""HTTP towards callers, servers, the platform and operators."""
