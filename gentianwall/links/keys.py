"""Files of the CURVE key pairs that encrypt links, one pair per instance."""

from __future__ import annotations

import os
import pathlib

import attrs
import zmq.auth

FORBIDDEN_MODE_BITS = 0o077


@attrs.frozen
class KeyPair:
    """A public key and, for this process's own instance, the secret key."""

    public: bytes
    secret: bytes | None


class KeyFileError(Exception):
    """A key file is missing or accessible to other users."""


def make_keys(folder: str, name: str) -> pathlib.Path:
    """Creates `NAME.key` and `NAME.key_secret`; returns the first path."""
    path = pathlib.Path(folder)
    path.mkdir(parents=True, exist_ok=True)
    public_path, secret_path = zmq.auth.create_certificates(path, name)
    os.chmod(secret_path, 0o600)
    return pathlib.Path(public_path)


def load_keys(folder: str, name: str, is_own: bool = True) -> KeyPair:
    """Reads the keys of an instance; the secret key only if `is_own`.

    Raises:
        KeyFileError: The file is missing, or a secret key is accessible to
            other users.
    """
    suffix = "key_secret" if is_own else "key"
    path = pathlib.Path(folder) / f"{name}.{suffix}"
    if not path.exists():
        raise KeyFileError(
            f"{path} does not exist; create it with `gentianwallctl keys`"
        )
    if is_own and path.stat().st_mode & FORBIDDEN_MODE_BITS:
        raise KeyFileError(
            f"{path} is accessible to other users; set its mode to 600"
        )
    public, secret = zmq.auth.load_certificate(path)
    return KeyPair(public, secret)
