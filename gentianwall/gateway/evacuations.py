"""Keeps requests from the servers of evacuated failure domains.

Load pattern: an operator takes a whole failure domain out of use, often because
it is about to lose its power or its links, and returns it later with all its
servers cold. A server there may look idle and healthy until it ends.
"""

from __future__ import annotations

import attrs

from gentianwall.membership.messages import ServerNotice

# A notice that a former leader sent late has a lower version than the one in
# force and is ignored. If no notice has confirmed the version for this long,
# the control instances have lost their disks and count anew.
LOST_VERSION_MS = 10_000.0


@attrs.define
class Evacuations:
    """The evacuated failure domains that an entry knows of.

    Attributes:
        version: Version of `domains`, from the leader.
        domains: Names of the evacuated failure domains.
        confirmed_ms: When a notice last had this version.
    """

    version: int = 0
    domains: frozenset[str] = frozenset()
    confirmed_ms: float = float("-inf")

    def contains(self, notice: ServerNotice) -> bool:
        """Returns whether a server must get no requests."""
        return notice.failure_domain in self.domains

    def apply(
        self, version: int, domains: tuple[str, ...] | None, now_ms: float
    ) -> bool:
        """Applies the evacuations of a notice unless they are outdated.

        Args:
            version: Version of the evacuations in force.
            domains: Names of the failure domains; None if they are unchanged.
            now_ms: The local clock.

        Returns:
            Whether the failure domains have changed.
        """
        is_confirmed = now_ms - self.confirmed_ms <= LOST_VERSION_MS
        if version < self.version and is_confirmed:
            return False
        if version == self.version:
            self.confirmed_ms = now_ms
        if domains is None:
            return False
        self.version = version
        self.confirmed_ms = now_ms
        before, self.domains = self.domains, frozenset(domains)
        return self.domains != before
