"""State of the session model, and the modules under test that it exchanges."""

import attrs

from cassiahill import (
    acknowledgement,
    backend,
    freshness,
    messages,
    outcomes,
    routing,
    tokens,
)
from tests.database_model import GROUP, SERVERS


@attrs.frozen
class Parts:
    """The parts under test."""

    view: type = freshness.GroupView
    policy: type = routing.ReplicaFirstPolicy
    keyed_write: object = staticmethod(outcomes.keyed_write)
    resolve: object = staticmethod(outcomes.resolve)


class Proxy:
    """The state of one proxy."""

    def __init__(self, parts):
        self.view = parts.view(GROUP, SERVERS)
        self.policy = parts.policy(unreachable_after_seconds=1e9)
        self.tracker = acknowledgement.AckTracker(SERVERS)


@attrs.define(eq=False)
class Session:
    """A caller's session; ``write`` is the one that is not settled."""

    name: str
    token: str | None = None
    busy: bool = False
    write: object = None


@attrs.define(eq=False)
class Write:
    """A write of a session; ``attempted`` after an attempt of unknown outcome."""

    item: str
    value: str
    key: str | None
    attempted: bool = False

    @property
    def statement(self):
        return messages.Statement(
            "INSERT INTO items VALUES (?, ?)", (self.item, self.value)
        )


@attrs.define(eq=False)
class Call:
    """A request in flight: a generator that yields batches, at one server."""

    session: Session
    proxy: Proxy
    server: str
    steps: object
    batch: backend.Batch
    finish: object
    mark_for_unknown_write: tokens.Mark
    may_advance: bool
    result: object = None
    terms: list = attrs.field(factory=list)  # Of the log that the batch ran on.
