"""Adapter for the users' platform, whose names and formats no other package uses."""
