"""Units of time: everything in the laboratory's model counts whole nanoseconds."""

MS = 1_000_000
SECOND = 1_000 * MS
