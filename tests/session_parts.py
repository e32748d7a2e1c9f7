"""The modules that the session model drives; each can be exchanged."""

import attrs

from cassiahill import acknowledgement, freshness, outcomes, routing
from tests.database_model import GROUP, SERVERS


@attrs.frozen
class Parts:
    """The parts under test."""

    view: type = freshness.GroupView
    policy: type = routing.FreshPolicy
    keyed_write: object = staticmethod(outcomes.keyed_write)
    resolve: object = staticmethod(outcomes.resolve)


class Proxy:
    """The state of one proxy."""

    def __init__(self, parts):
        self.view = parts.view(GROUP, SERVERS)
        self.policy = parts.policy(silent_after=1e9)
        self.tracker = acknowledgement.AckTracker(SERVERS)
