"""Units of sizes, in bytes."""

KIB = 1 << 10
MIB = 1 << 20
