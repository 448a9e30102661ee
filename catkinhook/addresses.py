"""Parsing of addresses of the form ``IP:port``."""

import ipaddress


def split_address(address: str) -> tuple[str, int]:
    """Split ``IP:port`` into the IP address and the port.

    :raises ValueError: if it is not an IP address and a port from 0 to 65535.
    """
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    ipaddress.ip_address(host)
    if not port.isdigit() or int(port) > 65535:
        raise ValueError(f"{port!r} is not a port number")
    return host, int(port)
