"""A promotion that is about to take effect, as the promoter has announced it.

The old primary goes on until then. A commit that it acknowledges is kept if the
successor has received it, whichever replica acknowledged it.
"""

import attrs

# Longer than the successor's catch-up and an order without an answer together. The
# promoter announces the promotion again with each further order.
ANNOUNCEMENT_SECONDS = 5.5


@attrs.frozen
class AnnouncedPromotion:
    """The promotion of one server.

    Attributes
    ----------
    successor : str
        Id of the server that becomes the primary.
    ends_at : float
        Instant from which on the announcement does not count.
    """

    successor: str
    ends_at: float


def has_received(report, position):
    """Return whether a successor has a commit; None if that cannot be told any more.

    Parameters
    ----------
    report : statements.ServerReport
        Status of the successor.
    position : positions.LogPosition
        Of a commit that the old primary has acknowledged.
    """
    received = report.received
    if report.is_primary or (received is not None and received.term > position.term):
        # Its log has gone on in a new term, and does not show where the old one ended.
        return None
    return received is not None and received >= position
