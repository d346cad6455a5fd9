"""The users' platform: its names, formats and calls, and nothing else.

Every wire name of the platform stands in this folder. It is decoded here,
once, into the product's own types; no decision is taken here.
"""
