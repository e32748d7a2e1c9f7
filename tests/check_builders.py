"""Builders of configurations for the tests of their checks before sending."""

import contextlib
import copy
import io
import json

from cassiahill import cli
from cassiahill.catalog import GroupLimits
from cassiahill.catalog_checks import CatalogEntries, CatalogEntry
from cassiahill.tenants import Tenant, digest_key
from tests.session_builders import make_route
from tests.tenant_builders import NORTH_KEY, SOUTH_KEY

CLEAN_DOCUMENT = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "shop",
            "pathPrefix": "/",
            "kind": "primary",
            "timeoutMs": 800,
            "latencySloMs": 155,
            "priority": 0,
            "service": "orders",
            "maxAttempts": 2,
            "public": False,
        },
        {
            "name": "r-2",
            "host": "till",
            "kind": "read_your_writes",
            "timeoutMs": 800,
            "latencySloMs": 255,
            "priority": 1,
            "service": "orders",
            "maxStalenessMs": 2500,
        },
    ],
    "services": [{"name": "orders", "maxConns": 56, "syncReplicas": 1}],
    "limits": {"idleTxMs": 3000},
    "tenants": [
        {
            "name": "north",
            "apiKeys": [NORTH_KEY],
            "priority": 1,
            "ratePerS": 194,
            "burst": 194,
        },
        {"name": "south", "apiKeys": [SOUTH_KEY]},
    ],
}


def make_document(*changes):
    """Return the clean document with values set at paths.

    Parameters
    ----------
    changes : tuple of (tuple, object)
        Keys and indices that lead to a value, and the value.
    """
    document = copy.deepcopy(CLEAN_DOCUMENT)
    for path, value in changes:
        target = document
        for step in path[:-1]:
            target = target[step]
        target[path[-1]] = value
    return document


def make_tenant(name="north", keys=(NORTH_KEY,), **limits):
    """Return a tenant that holds keys."""
    return Tenant(name, frozenset(map(digest_key, keys)), **limits)


def make_entries(routes=None, groups=None, idle_seconds=3.0, tenants=None):
    """Return entries; the default ones have no findings."""
    return CatalogEntries(
        7,
        _placed("routes", [make_route()] if routes is None else routes),
        _placed(
            "services", [GroupLimits("orders", 56, True)] if groups is None else groups
        ),
        idle_seconds,
        None if tenants is None else _placed("tenants", tenants),
    )


def _placed(name, values):
    return tuple(
        CatalogEntry(f"{name}[{index}]", value) for index, value in enumerate(values)
    )


def write_document(folder, name, document):
    """Write a document to a file in a folder; return its path."""
    path = folder / name
    path.write_text(json.dumps(document))
    return path


def run_check(*arguments):
    """Run the command in this process; return its exit code, output and errors."""
    output, error_output = io.StringIO(), io.StringIO()
    with (
        contextlib.redirect_stdout(output),
        contextlib.redirect_stderr(error_output),
    ):
        code = cli.main(["config", "check-document", *map(str, arguments)])
    return code, output.getvalue(), error_output.getvalue()
