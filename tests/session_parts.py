"""State of the session model, and the replaceable components under test."""

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
from tests.database_model import GROUP_NAME, SERVER_NAMES


@attrs.frozen
class Components:
    """The components under test; a test replaces some by broken versions."""

    view: type = freshness.GroupView
    policy: type = routing.ReplicaFirstPolicy
    keyed_write: object = staticmethod(outcomes.keyed_write)
    resolve: object = staticmethod(outcomes.resolve)


class Proxy:
    """One proxy's view of the group, read policy and write acknowledgements."""

    def __init__(self, components):
        self.view = components.view(GROUP_NAME, SERVER_NAMES)
        self.policy = components.policy(unreachable_after_seconds=1e9)
        self.tracker = acknowledgement.AckTracker(SERVER_NAMES)


@attrs.define(eq=False)
class Session:
    """A caller's session.

    ``busy`` is true while a request has no answer. ``unsettled_write`` is the write
    whose outcome the caller does not know yet.
    """

    name: str
    token: str | None = None
    busy: bool = False
    unsettled_write: object = None


@attrs.define(eq=False)
class Write:
    """A write of a session.

    ``attempted`` is true after an attempt with an unknown outcome.
    """

    item: str
    value: str
    key: str | None
    attempted: bool = False

    @property
    def statement(self):
        """The statement that inserts the value."""
        return messages.Statement(
            "INSERT INTO items VALUES (?, ?)", (self.item, self.value)
        )


@attrs.define(eq=False)
class InFlightRequest:
    """A request whose current batch is on its way to or from one database.

    ``batches`` is the generator that yields the batches of the request and receives
    their results. ``on_complete`` is called with the request and the generator's return
    value. ``may_advance_mark`` tells whether the outcome of a write may advance the
    session's mark.
    """

    session: Session
    proxy: Proxy
    server: str
    batches: object
    batch: backend.Batch
    on_complete: object
    mark_for_unknown_write: tokens.Mark
    may_advance_mark: bool
    result: object = None
    # Terms of the entries in the database's log after the batch ran.
    log_terms: list = attrs.field(factory=list)
