"""Encode the control state as the bytes that members store and send; a large state is compressed.

The caller provides the encoding before compression, which is `control_state_record` in the control process.
"""

from __future__ import annotations

from collections.abc import Callable

from canvasbeam.cluster.compression import pack, unpack
from canvasbeam.errors import Failure, ResultCode
from canvasbeam.replication.control_state import ControlState

EncodeState = Callable[[ControlState], bytes]
DecodeState = Callable[[bytes], ControlState | Failure]


class ControlStateCodec:
    """Encodes and decodes control states; caches the bytes of the state that was encoded last."""

    def __init__(self, encode_state: EncodeState, decode_state: DecodeState) -> None:
        self._encode_state = encode_state
        self._decode_state = decode_state
        self._encoded_state: tuple[ControlState, bytes] | None = None

    def encode_state(self, state: ControlState) -> bytes:
        """Return a state's bytes. The last state's bytes are cached, because one state is sent to several replicas."""
        if self._encoded_state is None or self._encoded_state[0] is not state:
            self._encoded_state = (state, pack(self._encode_state(state)))
        return self._encoded_state[1]

    def decode_state(self, data: bytes) -> ControlState | Failure:
        """Return the state encoded in `data`, or a failure; bytes that cannot be decompressed are `MESSAGE_INVALID`."""
        try:
            return self._decode_state(unpack(data))
        except ValueError as error:
            return Failure(ResultCode.MESSAGE_INVALID, f"a state: {error}")
