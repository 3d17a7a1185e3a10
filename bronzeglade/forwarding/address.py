"""Addresses in documents of others: an IPv4 address and a port."""

import ipaddress

MAX_PORT = 65535
_PORT_DIGITS = 5

Address = tuple[str, int]


def parse(text: str) -> Address | None:
    """Return the address in a text `HOST:PORT`, or None if it is malformed."""
    host, _, port = text.rpartition(':')
    # The conversion fails for texts of thousands of digits.
    is_number = (
        port.isascii() and port.isdecimal() and len(port) <= _PORT_DIGITS
    )
    if not is_number:
        return None
    address = host, int(port)
    return address if is_valid(address) else None


def is_valid(address: Address) -> bool:
    """Return whether an address has an IPv4 address and a port.

    The lookup of a host name would block the process.
    """
    host, port = address
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return 0 < port <= MAX_PORT
