"""Authentication of messages between balancers with shared keys.

A signed message consists of the key identifier (4 bytes), the message
authentication code (16 bytes) and the message, which is not encrypted. Keys
are rotated in three steps, each of which must be complete on all hosts before
the next: add the new key, make it the active key, remove the old key.
"""

import collections.abc
import hashlib
import hmac
import struct
import types

_KEY_ID = struct.Struct('!I')
_CODE_BYTES = 16
_PREFIX_BYTES = _KEY_ID.size + _CODE_BYTES
_MAX_KEY_ID = (1 << 32) - 1
# 128 bits, the length of the authentication code; a shorter key would be
# weaker than the code.
MIN_KEY_BYTES = 16
MAX_KEY_BYTES = hashlib.blake2b.MAX_KEY_SIZE


class AuthenticationError(ValueError):
    """Raised for a message that was not signed with a known key."""


class Keyring:
    """Keys for verifying messages, one of which also signs them.

    Parameters
    ----------
    keys_by_id : Mapping
        Secret key for each key identifier, 16 to 64 bytes.
    active_key_id : int
        Identifier of the key that signs messages.

    Raises
    ------
    ValueError
        If the length of a key or an identifier is out of range, or
        `active_key_id` is not in `keys_by_id`.

    Examples
    --------
    >>> old = Keyring({1: b'a' * 16}, active_key_id=1)
    >>> both = Keyring({1: b'a' * 16, 2: b'b' * 16}, active_key_id=2)
    >>> both.verify(old.sign(b'probe'))
    b'probe'
    """

    def __init__(
        self,
        keys_by_id: collections.abc.Mapping[int, bytes],
        active_key_id: int,
    ) -> None:
        for key_id, key in keys_by_id.items():
            if not 0 <= key_id <= _MAX_KEY_ID:
                raise ValueError(f'key identifier {key_id} is out of range')
            if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
                raise ValueError(
                    f'key {key_id} has {len(key)} bytes; must have '
                    f'{MIN_KEY_BYTES} to {MAX_KEY_BYTES}'
                )
        if active_key_id not in keys_by_id:
            raise ValueError(
                f'the active key {active_key_id} is not in the key ring'
            )
        self._keys_by_id = types.MappingProxyType(dict(keys_by_id))
        self._active_key_id = active_key_id

    def sign(self, message: bytes) -> bytes:
        """Return `message`, prefixed with key identifier and code."""
        key_id = _KEY_ID.pack(self._active_key_id)
        code = _authentication_code(
            self._keys_by_id[self._active_key_id], key_id, message
        )
        return key_id + code + message

    def verify(self, data: bytes) -> bytes:
        """Return the message in `data` after checking its code.

        Raises
        ------
        AuthenticationError
            If `data` is truncated, its key is unknown, or its authentication
            code does not match.
        """
        if len(data) < _PREFIX_BYTES:
            raise AuthenticationError('the signed message is truncated')
        key = self._keys_by_id.get(_KEY_ID.unpack_from(data)[0])
        if key is None:
            raise AuthenticationError('the key identifier is unknown')
        code = data[_KEY_ID.size : _PREFIX_BYTES]
        message = data[_PREFIX_BYTES:]
        if not hmac.compare_digest(
            code, _authentication_code(key, data[: _KEY_ID.size], message)
        ):
            raise AuthenticationError('the authentication code does not match')
        return message


def _authentication_code(key: bytes, key_id: bytes, message: bytes) -> bytes:
    digest = hashlib.blake2b(key_id, digest_size=_CODE_BYTES, key=key)
    digest.update(message)
    return digest.digest()
