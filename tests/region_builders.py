"""Two regions with three failure domains each."""

from cassiahill.regions import Regions

REGION_BY_DOMAIN = {
    f"{region}-{letter}": region for region in ("north", "south") for letter in "abc"
}


def regions_seen_from(own_domain):
    """Return the ``Regions`` as a process in a failure domain sees them."""
    return Regions(own_domain, REGION_BY_DOMAIN)


def domains_of_fleet(count):
    """Return the failure domains of ``count`` proxies, spread evenly, by name."""
    domains = list(REGION_BY_DOMAIN)
    return {
        f"proxy-{number}": domains[number % len(domains)] for number in range(count)
    }
