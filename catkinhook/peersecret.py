"""Minimum length of the secret that peers share."""

MIN_SECRET_BYTES = 16
