"""Builders of tenants, their keys and their configurations for tests."""

from cassiahill.catalog import Configuration
from cassiahill.tenants import Tenant, TenantDirectory, digest_key
from tests.session_builders import make_route

NORTH_KEY = "north-key-5f1e90c2"
SOUTH_KEY = "south-key-77ab31d4"
UNKNOWN_KEY = "unknown-key-0b9d6e58"
ALL_KEYS = (NORTH_KEY, SOUTH_KEY, UNKNOWN_KEY)


def make_tenants(**keys_by_name):
    """Return the directory of tenants with the given names and lists of keys."""
    return TenantDirectory.from_tenants(
        Tenant(name, frozenset(map(digest_key, keys)))
        for name, keys in keys_by_name.items()
    )


def make_configuration(tenants, version=1, routes=()):
    """Return a configuration with tenants and routes, by default ``shop`` only."""
    routes_by_database = {
        route.database: route for route in (routes or (make_route(),))
    }
    return Configuration(version, routes_by_database, {}, 3.0, {}, tenants)
