"""Emulators of model engines, plain services and the platform."""
