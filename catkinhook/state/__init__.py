"""Shared state: clients of the store, service documents, configuration, endpoint entries."""
