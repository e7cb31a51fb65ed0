"""Authentication of messages between balancers with shared keys.

A sealed message is the key identifier (4 bytes), the authentication code
(16 bytes) and the message. Keys are rotated in three steps, each complete on
all hosts before the next: add the new key, make it active, remove the old one.
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
# 128 bits, the strength of the authentication code.
MIN_KEY_BYTES = 16
MAX_KEY_BYTES = hashlib.blake2b.MAX_KEY_SIZE


class AuthenticationError(ValueError):
    """A message that was not sealed with a known key."""


class Keyring:
    """Keys that are accepted, and the one that seals.

    Parameters
    ----------
    keys_by_id : Mapping
        Secret of each key identifier, 16 to 64 bytes.
    active : int
        Identifier of the key that seals messages.

    Raises
    ------
    ValueError
        If a key or an identifier is out of range, or `active` is not a key.

    Examples
    --------
    >>> old = Keyring({1: b'a' * 16}, active=1)
    >>> both = Keyring({1: b'a' * 16, 2: b'b' * 16}, active=2)
    >>> both.open(old.seal(b'probe'))
    b'probe'
    """

    def __init__(
        self, keys_by_id: collections.abc.Mapping[int, bytes], active: int
    ) -> None:
        for key_id, key in keys_by_id.items():
            if not 0 <= key_id <= _MAX_KEY_ID:
                raise ValueError(f'key identifier {key_id} is out of range')
            if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
                raise ValueError(
                    f'key {key_id} has {len(key)} bytes; accepted are '
                    f'{MIN_KEY_BYTES} to {MAX_KEY_BYTES}'
                )
        if active not in keys_by_id:
            raise ValueError(f'the active key {active} is not in the key ring')
        self._keys_by_id = types.MappingProxyType(dict(keys_by_id))
        self._active = active

    def seal(self, message: bytes) -> bytes:
        """Return `message` with key identifier and authentication code."""
        key_id = _KEY_ID.pack(self._active)
        code = _code(self._keys_by_id[self._active], key_id, message)
        return key_id + code + message

    def open(self, data: bytes) -> bytes:
        """Return the message in `data`.

        Raises
        ------
        AuthenticationError
            If `data` is truncated, or its key is unknown, or its
            authentication code does not match.
        """
        if len(data) < _PREFIX_BYTES:
            raise AuthenticationError('the sealed message is truncated')
        key = self._keys_by_id.get(_KEY_ID.unpack_from(data)[0])
        if key is None:
            raise AuthenticationError('the key is unknown')
        code = data[_KEY_ID.size : _PREFIX_BYTES]
        message = data[_PREFIX_BYTES:]
        if not hmac.compare_digest(
            code, _code(key, data[: _KEY_ID.size], message)
        ):
            raise AuthenticationError('the authentication code is wrong')
        return message


def _code(key: bytes, key_id: bytes, message: bytes) -> bytes:
    digest = hashlib.blake2b(key_id, digest_size=_CODE_BYTES, key=key)
    digest.update(message)
    return digest.digest()
