"""Adapter to the users' platform; no other code uses its names and formats."""
