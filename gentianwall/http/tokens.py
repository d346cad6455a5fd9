"""Bearer tokens of operators and servers, kept in files."""

from __future__ import annotations

import hmac
import pathlib


class TokenFileError(Exception):
    """The token file is missing, empty or open to others."""


def load_token(path: str) -> bytes:
    """Reads the operators' token; empty when none is wanted.

    Raises:
        TokenFileError: The file cannot be used.
    """
    if not path:
        return b""
    file = pathlib.Path(path)
    if not file.exists():
        raise TokenFileError(f"{path} is missing")
    if file.stat().st_mode & 0o077:
        raise TokenFileError(f"{path} may be read by others; use mode 600")
    token = file.read_bytes().strip()
    if not token:
        raise TokenFileError(f"{path} is empty")
    return token


def is_bearer(token: bytes, authorization: str) -> bool:
    """Whether an `Authorization` header bears a token; an empty one is none."""
    given = authorization.removeprefix("Bearer ")
    return not token or hmac.compare_digest(token, given.encode())


def is_server_allowed(
    token_folder: str, service: str, authorization: str
) -> bool:
    """Whether a server bears its service's token; without a folder, any."""
    if not token_folder:
        return True
    try:
        token = (pathlib.Path(token_folder) / service).read_bytes().strip()
    except OSError:
        return False
    return bool(token) and is_bearer(token, authorization)
