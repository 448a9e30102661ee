"""Versions of the store, which stay in order when it comes back from an older copy.

Such a store has lost transactions that it had acknowledged, and gives out their versions again. It
numbers its histories: each return begins a new *era*. A store version is an integer that is ordered
by era first, then by the store's own version, so that rows, change feeds and messages between hosts
carry and compare it like any version. Where the store has no eras, it is the store's own version.
"""

# Bits of a store version for the store's own version; the era takes those above.
_VERSION_BITS = 40
MAX_ERA = 2 ** (63 - _VERSION_BITS) - 1
MAX_VERSION_IN_ERA = 2**_VERSION_BITS - 1


def join_version(era: int | None, version: int) -> int | None:
    """Return the store version of the store's own version in an era.

    :param era: None for a store without eras.
    :returns: None if the version is out of range.
    """
    if era is None:
        return version
    return era << _VERSION_BITS | version if version <= MAX_VERSION_IN_ERA else None


def find_era(store_version: int) -> int:
    """Return the era of a store version, 0 for a store without eras."""
    return store_version >> _VERSION_BITS


def version_in_era(store_version: int) -> int:
    """Return the store's own version, as calls to a store with eras state it."""
    return store_version & MAX_VERSION_IN_ERA
