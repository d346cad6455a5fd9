"""Keys of the links: one CURVE pair for each instance."""

from __future__ import annotations

import os
import pathlib

import attrs
import zmq.auth

PRIVATE_MODE_MASK = 0o077


@attrs.frozen
class KeyPair:
    """A public key and, for the own instance, the secret one."""

    public: bytes
    secret: bytes | None


class KeyFileError(Exception):
    """A key file is missing or may be read by others."""


def make_keys(folder: str, name: str) -> pathlib.Path:
    """Writes `NAME.key` and `NAME.key_secret`; returns the public file."""
    path = pathlib.Path(folder)
    path.mkdir(parents=True, exist_ok=True)
    public, secret = zmq.auth.create_certificates(path, name)
    os.chmod(secret, 0o600)
    return pathlib.Path(public)


def load_keys(folder: str, name: str, is_own: bool = True) -> KeyPair:
    """Reads the keys of an instance.

    Raises:
        KeyFileError: The file is missing, or a secret is open to others.
    """
    suffix = "key_secret" if is_own else "key"
    path = pathlib.Path(folder) / f"{name}.{suffix}"
    if not path.exists():
        raise KeyFileError(f"{path} is missing; see `gentianwallctl keys`")
    if is_own and path.stat().st_mode & PRIVATE_MODE_MASK:
        raise KeyFileError(f"{path} may be read by others; set its mode to 600")
    public, secret = zmq.auth.load_certificate(path)
    return KeyPair(public, secret)
