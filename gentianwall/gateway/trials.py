"""Permissions of an entry to try quarantined requests again."""

from __future__ import annotations

import attrs

from gentianwall.claims.quarantines import TRIAL_MS

# Bounds what a poll reports. Others are reported when they come again.
MAX_REFUSED = 16


@attrs.frozen
class Permission:
    """Permits one run of a quarantined request.

    Attributes:
        name: Name under which the request is quarantined.
        until_ms: When the permission ends.
    """

    name: str
    until_ms: float


@attrs.define
class Trials:
    """Quarantined requests that an entry refused, and those it may try.

    Attributes:
        refused: Names of those that it refused since its last poll.
        permissions: Permissions that were not used yet, by name.
    """

    refused: set[str] = attrs.field(factory=set)
    permissions: dict[str, Permission] = attrs.field(factory=dict)

    def record_refusal(self, name: str) -> None:
        """Records that a quarantined request was refused."""
        if len(self.refused) < MAX_REFUSED:
            self.refused.add(name)

    def take_refused(self) -> tuple[str, ...]:
        """Returns the requests refused since the last call."""
        refused, self.refused = self.refused, set()
        return tuple(sorted(refused))

    def permit(self, names: tuple[str, ...], now_ms: float) -> None:
        """Records that one run each of some requests is permitted."""
        for name in names:
            self.permissions[name] = Permission(name, now_ms + TRIAL_MS)

    def take(self, name: str, now_ms: float) -> Permission | None:
        """Returns and uses the permission for a run, if there is one."""
        permission = self.permissions.pop(name, None)
        if permission is None or now_ms >= permission.until_ms:
            return None
        return permission

    def give_back(self, permission: Permission) -> None:
        """Restores a permission that led to no run."""
        self.permissions[permission.name] = permission
