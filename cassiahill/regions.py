"""Regions of the failure domains, and how far another domain is; does no I/O.

Between two regions a message takes many times as long as inside one, and all traffic
shares one narrow link. Decisions that have a choice therefore prefer what is near, and
treat another region as one unit that can be cut off as a whole.
"""

import enum

import attrs

# Other domains of a region that suffice to tell whether one of its domains is cut off.
# With one, the failure of a single process there would look like a partition.
MIN_DOMAINS_OF_WITNESSES = 2


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
    are_several : bool
        Whether the deployment has several regions.
    """

    own_domain: str
    region_by_domain: dict = attrs.field(factory=dict, hash=False)
    # Computed once, because it is read for each candidate of each statement.
    are_several: bool = attrs.field(init=False)

    @are_several.default
    def _names_several(self):
        return (
            self.own_domain in self.region_by_domain
            and len(set(self.region_by_domain.values())) > 1
        )

    @property
    def own_region_has_witnesses(self):
        """Whether the own region alone tells if the own domain is cut off."""
        near_domains = [
            domain
            for domain in self.region_by_domain
            if self.distance(domain) is Distance.OWN_REGION
        ]
        return self.are_several and len(near_domains) >= MIN_DOMAINS_OF_WITNESSES

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
