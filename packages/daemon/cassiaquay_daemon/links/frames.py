"""Wire encoding of messages: a msgpack array of the message's code and its fields."""

import typing

import msgpack
import msgspec

from cassiaquay_schema import messages

from .. import exceptions

MAX_FRAME_BYTES = 4 * 1024 * 1024


def encode(message: messages.Message) -> bytes:
    """Return the frame of a message.

    Raises
    ------
    UnencodableMessage
        When it cannot be sent: an integer of more than 64 bits, text that is not valid
        Unicode, or more bytes than its receiver would accept.
    """
    name = type(message).__name__
    try:
        frame = msgpack.packb([messages.CODES[type(message)], *message])
    except (OverflowError, TypeError, ValueError) as error:
        raise exceptions.UnencodableMessage(f"{name}: {error}") from error
    if len(frame) > MAX_FRAME_BYTES:
        raise exceptions.UnencodableMessage(f"{name}: {len(frame)} bytes")
    return typing.cast(bytes, frame)


class Decoder:
    """Decodes the bytes of one connection into messages.

    Parameters
    ----------
    max_bytes : int
        Bound on the bytes of a frame, and so on the elements that it may announce.
    """

    def __init__(self, max_bytes: int = MAX_FRAME_BYTES):
        self._max_bytes = max_bytes
        self._unpacker = msgpack.Unpacker(max_buffer_size=max_bytes)

    def feed(self, data: bytes) -> list[messages.Message]:
        """Return the messages completed by ``data``.

        Raises
        ------
        InvalidFrame
            When the bytes are not a message; the connection must then be closed.
        """
        decoded = []
        try:
            self._unpacker.feed(data)
            for frame in self._unpacker:
                decoded.append(_message(frame))
        except exceptions.InvalidFrame:
            raise
        except Exception as error:
            # msgpack raises a dozen exception types for malformed bytes. Whatever a
            # peer sends, only its own connection may be closed.
            raise exceptions.InvalidFrame(str(error)) from error
        return decoded

    def feed_one(self, data: bytes) -> messages.Message | None:
        """Return the first message once it is complete, and decode nothing behind it.

        Raises
        ------
        InvalidFrame
            As :meth:`feed`.
        """
        try:
            self._unpacker.feed(data)
            return _message(next(self._unpacker))
        except StopIteration:
            return None
        except exceptions.InvalidFrame:
            raise
        except Exception as error:
            raise exceptions.InvalidFrame(str(error)) from error

    def take_rest(self) -> bytes:
        """Return the bytes that have not been decoded."""
        return typing.cast(bytes, self._unpacker.read_bytes(self._max_bytes))


def _message(frame: object) -> messages.Message:
    if not isinstance(frame, list) or not frame or not isinstance(frame[0], int):
        raise exceptions.InvalidFrame("not an array that begins with a code")
    kind = messages.BY_CODE.get(frame[0])
    if kind is None:
        raise exceptions.InvalidFrame(f"no message has code {frame[0]}")
    try:
        return msgspec.convert(frame[1:], kind)
    except msgspec.ValidationError as error:
        raise exceptions.InvalidFrame(f"{kind.__name__}: {error}") from error
