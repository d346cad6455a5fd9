"""Identifies the organisation of a request by the key that it carries.

A request is identified when it would start, by the configuration in force at
that time: a removed key is refused on open connections and for pipelined
requests that were held. A key is looked up by its digest, so that the time of
the lookup does not depend on how much of a guessed key is correct.
"""

from __future__ import annotations

from collections.abc import Sequence

from gentianwall.config.routes import Organisation, Route, digest_key
from gentianwall.core.refusals import RefusalReason
from gentianwall.gateway.state import GatewayState, RoutedCall
from gentianwall.routing.routes import RouteTable

SCHEME = b"bearer"
# What requests belong to that need no key.
NO_ORGANISATION = Organisation("")


def check_head(
    state: GatewayState,
    host: str,
    path: str,
    authorization_values: Sequence[bytes],
) -> RefusalReason | None:
    """Returns why a request is refused by its head alone, or None.

    A request that passes is checked again when it would start. Before the
    first configuration none is refused here, since it may wait for it.

    Args:
        state: State of the entry.
        host: Value of the `Host` header.
        path: Path of the request without the query.
        authorization_values: Values of all its `Authorization` headers.
    """
    if state.table is None:
        return None
    route = state.table.find(host, path)
    if route is None:
        return RefusalReason.NO_ROUTE
    if identify(state.table, route, authorization_values) is None:
        return RefusalReason.UNAUTHENTICATED
    return None


def identify(
    table: RouteTable, route: Route, authorization_values: Sequence[bytes]
) -> Organisation | None:
    """Returns the organisation of a request, or None if it must be refused.

    Requests of public routes, and all while the configuration has no
    organisations, belong to `NO_ORGANISATION`; keys in them are not evaluated.
    """
    if route.is_public or not table.has_organisations:
        return NO_ORGANISATION
    if len(authorization_values) != 1:
        return None
    scheme, _, key = authorization_values[0].strip(b" \t").partition(b" ")
    # The scheme is case-insensitive (RFC 9110, 11.1).
    if scheme.lower() != SCHEME:
        return None
    return table.organisation_by_digest.get(digest_key(key.strip(b" ")))


def identify_relayed(
    table: RouteTable, route: Route, name: str
) -> Organisation | None:
    """Returns the organisation that the first entry of a request found.

    None if this entry's configuration does not allow it: the organisation may
    have lost its keys, or this configuration may be older.
    """
    if not name:
        return identify(table, route, ())
    organisation = table.organisation_by_name.get(name)
    if organisation is None or not organisation.key_digests:
        return None
    return organisation


def priority_of(organisation: Organisation, route: Route) -> int:
    """Returns the priority of a request, that of its organisation first."""
    if organisation.priority is None:
        return route.priority
    return organisation.priority


def is_key_hidden(state: GatewayState, call: RoutedCall) -> bool:
    """Returns whether servers must not receive `Authorization`.

    A request that was identified by its key keeps it hidden even if a later
    configuration has no organisations.
    """
    return bool(call.organisation) or (
        state.table is not None and state.table.has_organisations
    )
