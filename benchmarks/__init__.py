"""Benchmarks of the decisions on a virtual clock; ``python -m benchmarks`` prints a table."""
