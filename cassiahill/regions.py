"""Regions of the failure domains, and how far another domain is; does no I/O.

Between two regions a message takes many times as long as inside one, and all traffic
shares one narrow link. Decisions that have a choice therefore prefer what is near, and
treat another region as one unit that can be cut off as a whole.
"""

import enum

import attrs


class Distance(enum.IntEnum):
    """Distance of a failure domain; a greater one is farther away."""

    OWN_DOMAIN = 0
    OWN_REGION = 1
    OTHER_REGION = 2


@attrs.frozen
class Regions:
    """Regions as one process sees them.

    A failure domain without a region counts as one of the own region. If the own domain
    has none, all domains are of one region.

    Attributes
    ----------
    own_domain : str
        Failure domain of this process.
    region_by_domain : dict of str to str
        Region of each failure domain; empty in a deployment without regions.
    """

    own_domain: str
    region_by_domain: dict = attrs.field(factory=dict, hash=False)

    @property
    def are_several(self):
        """Whether the deployment has several regions."""
        return (
            self.own_domain in self.region_by_domain
            and len(set(self.region_by_domain.values())) > 1
        )

    def region_of(self, domain):
        """Return the name of a failure domain's region; None without regions."""
        if not self.are_several:
            return None
        return self.region_by_domain.get(domain, self.region_by_domain[self.own_domain])

    def is_same_region(self, domain):
        """Return whether a failure domain is in the region of this process."""
        return self.region_of(domain) == self.region_of(self.own_domain)

    def distance(self, domain):
        """Return the ``Distance`` of a failure domain."""
        if domain == self.own_domain:
            return Distance.OWN_DOMAIN
        if self.is_same_region(domain):
            return Distance.OWN_REGION
        return Distance.OTHER_REGION

    def nearest_first(self, domains):
        """Return failure domains in the order of their distance, then of their name."""
        return sorted(domains, key=lambda domain: (self.distance(domain), domain))
