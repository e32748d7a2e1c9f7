"""Builders of values for tests."""

from cassiahill import freshness


def status(server="s1", **changes):
    """Return the status of a replica at position 0 of term 1, polled at 0 s.

    ``changes`` replaces fields by name.
    """
    fields = {
        "server": server,
        "group": "g",
        "role": "replica",
        "term": 1,
        "position": 0,
        "last_term": 1,
        "term_starts": ((1, 1),),
        "primary": "s1",
        "primary_unreachable_seconds": 0.0,
        "sent_at": 0.0,
        "received_at": 0.0,
    }
    fields.update(changes)
    return freshness.ServerStatus(**fields)
