"""Units of memory."""

KIB = 1 << 10
MIB = 1 << 20
