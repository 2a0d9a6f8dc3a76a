"""Time units in nanoseconds; decision logic measures time in whole nanoseconds."""

MILLISECOND = 1_000_000
SECOND = 1_000 * MILLISECOND
