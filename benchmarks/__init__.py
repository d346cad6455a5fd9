"""Measurements and long runs; nothing here decides a test."""
