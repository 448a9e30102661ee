"""Request path: validation, admission, endpoint selection, attempts and answers."""
