"""Units of time: the system's decisions count whole nanoseconds."""

MILLISECOND = 1_000_000
SECOND = 1_000 * MILLISECOND
