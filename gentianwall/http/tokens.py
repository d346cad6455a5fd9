"""Bearer tokens of operators and servers, read from files."""

from __future__ import annotations

import hmac
import pathlib


class TokenFileError(Exception):
    """The token file is missing, empty or accessible to other users."""


def load_token(path: str) -> bytes:
    """Reads the operators' token; an empty path gives an empty token.

    Raises:
        TokenFileError: The file is missing, empty or accessible to others.
    """
    if not path:
        return b""
    file = pathlib.Path(path)
    if not file.exists():
        raise TokenFileError(f"{path} does not exist")
    if file.stat().st_mode & 0o077:
        raise TokenFileError(
            f"{path} is accessible to other users; set its mode to 600"
        )
    token = file.read_bytes().strip()
    if not token:
        raise TokenFileError(f"{path} is empty; it must contain a token")
    return token


def has_bearer_token(token: bytes, authorization: str) -> bool:
    """Returns whether an `Authorization` header has the token.

    An empty token allows any client.
    """
    presented_token = authorization.removeprefix("Bearer ")
    return not token or hmac.compare_digest(token, presented_token.encode())


def is_server_authorized(
    token_folder: str, service: str, authorization: str
) -> bool:
    """Returns whether a server sent the token of its service.

    Without a token folder any server is allowed; with one, a service without
    a token file allows none.
    """
    if not token_folder:
        return True
    try:
        token = (pathlib.Path(token_folder) / service).read_bytes().strip()
    except OSError:
        return False
    return bool(token) and has_bearer_token(token, authorization)
