"""Placement of models, orders to engines, and the leases that authorize them."""
