"""Adapter to the users' platform: its wire names, formats and API calls.

All wire names of the platform are defined in this package. It decodes each
message once into gentianwall's own types and contains no decision logic.
"""
