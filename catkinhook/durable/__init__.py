"""State that survives a restart: claims, deferred requests, quarantines."""
