"""Checks of IP addresses."""

from __future__ import annotations

import ipaddress


def is_ip_address(text: str) -> bool:
    """Returns whether a text is an IPv4 or IPv6 address without a zone."""
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return "%" not in text
