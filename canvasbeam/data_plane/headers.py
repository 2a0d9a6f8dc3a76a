"""HTTP headers as raw bytes: the names of headers that this service uses, and the filter for hop-by-hop headers.

The module holds no state and does not depend on request types. Header names are in lower case, as the HTTP parsers
return them.
"""

from __future__ import annotations

Headers = list[tuple[bytes, bytes]]

REQUEST_ID = b"x-request-id"
DEADLINE = b"x-deadline"  # time that the sender waits for the answer, in milliseconds; a fraction is ignored
TARGET_INSTANCE = b"x-target-instance"
NOT_EXECUTED = b"x-not-executed"
SEAL = b"x-response-seal"
PRIORITY = b"priority"
LAST_EVENT_ID = b"last-event-id"
CONTENT_LENGTH = b"content-length"

# The hop-by-hop headers of RFC 9110, section 7.6.1, and the additional headers of RFC 2616, section 13.5.1.
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the value of the first header of this name, or None."""
    for header, value in headers:
        if header == name:
            return value
    return None


def end_to_end(headers: Headers) -> Headers:
    """Return the headers without the hop-by-hop headers: `HOP_BY_HOP` and the headers that `Connection` names."""
    dropped = HOP_BY_HOP
    for name, value in headers:
        if name == b"connection":
            dropped = dropped | {token.strip().lower() for token in value.split(b",")}
    return [(name, value) for name, value in headers if name not in dropped]
