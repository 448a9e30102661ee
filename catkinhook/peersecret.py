"""What hosts prove to each other before they talk."""

MIN_SECRET_BYTES = 16
