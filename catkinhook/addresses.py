"""Parsing of addresses of the form ``IP:port``."""

import ipaddress

from catkinhook.texts import parse_count


def split_address(address: str) -> tuple[str, int]:
    """Split ``IP:port`` into the IP address and the port.

    :raises ValueError: if it is not an IP address and a port from 0 to 65535.
    """
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    ipaddress.ip_address(host)
    number = parse_count(port)
    if number is None or number > 65535:
        raise ValueError(f"{port[:20]!r} is not a port")
    return host, number
