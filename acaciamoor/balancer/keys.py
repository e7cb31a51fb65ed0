"""Key file with the keys for messages between balancers.

The file is JSON: ``{"active": 2, "keys": {"1": "<hex>", "2": "<hex>"}}``.
"""

import collections.abc
import logging
import pathlib

import pydantic

from acaciamoor.balancer import core as cores
import acaciamoor.findings as findings
import acaciamoor.wire as wire

LOG = logging.getLogger(__name__)


class KeysDocument(pydantic.BaseModel):
    """Document of the key file."""

    model_config = pydantic.ConfigDict(frozen=True, extra='forbid')

    active: int
    keys: dict[int, str]

    def to_keyring(self) -> wire.Keyring:
        """Return the keys as a keyring.

        Raises
        ------
        ValueError
            If a key is not hexadecimal or has an invalid length.
        """
        return wire.Keyring(
            {key_id: bytes.fromhex(key) for key_id, key in self.keys.items()},
            self.active,
        )


def read_keyring(path: pathlib.Path) -> wire.Keyring:
    """Read the key file at `path`.

    Raises
    ------
    FindingsError
        If the file cannot be read or is invalid. No finding contains a key.
    """
    try:
        document = KeysDocument.model_validate_json(path.read_bytes())
        return document.to_keyring()
    except pydantic.ValidationError as error:
        problems = [
            findings.Finding(
                '.'.join([str(path), *map(str, detail['loc'])]),
                detail['msg'],
            )
            for detail in error.errors(include_input=False)
        ]
    except (OSError, ValueError) as error:
        problems = [findings.Finding(str(path), str(error))]
    raise findings.FindingsError.of('the key file is not valid', problems)


def reload(
    path: pathlib.Path,
    post: collections.abc.Callable[[cores.Event], None],
) -> None:
    """Post the keys of the file; keep the old keys if the file is invalid."""
    try:
        post(cores.KeysChanged(read_keyring(path)))
    except findings.FindingsError as error:
        LOG.error(
            'the keys are not replaced: %s',
            '; '.join(str(finding) for finding in error.findings),
        )
