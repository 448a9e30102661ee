"""Adapter to the users' platform: the only code that knows its names and formats."""
