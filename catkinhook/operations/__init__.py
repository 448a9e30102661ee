"""Administration: CLI commands, admin API, error budget report, logs and metrics."""
