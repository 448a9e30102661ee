"""Bounds of values in the platform's records."""

# Bounds of values in records. Any writer may put any value into a row, and one that a later step
# can't take must not get past the decoder. Entries and reports beyond a bound are invalid;
# configurations were accepted by the store, so their values are capped instead.
#
# The store allows 200 bytes for keys; names also stand in headers and in messages between hosts.
MAX_NAME_CHARS = 200
# Models or adapters in one record. Messages between hosts carry them for all engines, and lists in
# these messages are bounded too.
MAX_ITEMS = 4096
# Counts are i32 fields of messages between hosts.
MAX_COUNT = 2**31 - 1
# Largest integer that every JSON implementation represents exactly. A holder counts on from it, in
# an i64 field.
MAX_SEQUENCE = 2**53 - 1
# Versions and boot ids are i64 fields of messages between hosts.
MAX_I64 = 2**63 - 1
# Timeouts of sockets and locks overflow above 292 years; no request lasts a day.
MAX_DURATION_MS = 86_400_000.0
# Sums and products of sizes, rates and weights must remain finite.
MAX_QUANTITY = 1e12
MAX_ADDRESS_CHARS = len("255.255.255.255:65535")
# Addresses of all endpoints of a large deployment; invalid ones of other writers push them out.
MAX_CACHED_ADDRESSES = 512
# Reasons are written to the log.
MAX_REASON_CHARS = 300
