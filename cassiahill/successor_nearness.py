"""How near a replica is to those who use its group; does no I/O.

When several replicas have the same log, any of them may be promoted. Each write of
another region then crosses a slow link, so the replica in the region with the most
demand is promoted. The decision is meant for the loss of a primary while the demand of
the regions differs.
"""

import attrs

# Regions whose shares of the demand differ by less count as equal: then the former
# primary's region keeps the role.
DEMAND_SHARE_STEP = 0.1


@attrs.frozen(order=True)
class Nearness:
    """Nearness of a replica; the greatest one is promoted.

    Attributes
    ----------
    region_demand_steps : int
        Share of the group's demand in its region, in ``DEMAND_SHARE_STEP``.
    in_former_region : bool
        Whether it is in the former primary's region.
    """

    region_demand_steps: int = 0
    in_former_region: bool = False


def nearness_of(domain, demand_by_domain, former_primary_domain, regions):
    """Return the ``Nearness`` of a replica; all are equal without regions.

    Parameters
    ----------
    domain : str
        Failure domain of the replica.
    demand_by_domain : dict of str to float
        Average number of statements of the group that wait or run, by the failure
        domain of the proxies; empty if it is not known.
    former_primary_domain : str or None
    regions : regions.Regions
    """
    if not regions.are_several:
        return Nearness()
    region = regions.region_of(domain)
    region_demand = sum(
        demand
        for other_domain, demand in demand_by_domain.items()
        if regions.region_of(other_domain) == region
    )
    total_demand = sum(demand_by_domain.values())
    share = region_demand / total_demand if total_demand > 0.0 else 0.0
    return Nearness(
        round(share / DEMAND_SHARE_STEP),
        former_primary_domain is not None
        and regions.region_of(former_primary_domain) == region,
    )
