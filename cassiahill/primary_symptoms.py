"""Signs that the primary of a group must be replaced, and how long they must last."""

import attrs

# The next constants tell how long a symptom must last before the primary is replaced.
PRIMARY_UNREACHABLE_SECONDS = 0.5  # The primary's status is then read once more.
# Shorter than for no answer, because a refused connection shows that the primary's
# process has ended.
REFUSED_CONNECTIONS_SECONDS = 0.3
NO_PRIMARY_SECONDS = 0.5
UNACKNOWLEDGED_WRITES_SECONDS = 0.8  # The primary may still answer other requests.
# Fraction of the proxies that must report the primary unreachable for their reports to
# count although this process reaches it.
UNREACHABLE_REPORTS_SHARE = 0.4
UNREACHABLE_REPORTS_SECONDS = 1.0

PRIMARY_UNREACHABLE = "unreachable"
WRITES_UNACKNOWLEDGED = "writes are not acknowledged"


@attrs.frozen
class PrimarySymptoms:
    """Signs at one instant that a group's primary must be replaced.

    An instant is None while its symptom is absent.

    Attributes
    ----------
    primary : str or None
        Id of the known primary.
    draining : bool
        Whether the primary is about to leave the group.
    unreachable_since : float or None
    refuses_connections : bool
        Whether the primary refuses new connections instead of not answering.
    primary_unknown_since : float or None
    writes_unacknowledged_since : float or None
    reported_unreachable_since : float or None
        Since when a large fraction of the proxies does not reach the primary.
    """

    primary: str | None
    draining: bool = False
    unreachable_since: float | None = None
    refuses_connections: bool = False
    primary_unknown_since: float | None = None
    writes_unacknowledged_since: float | None = None
    reported_unreachable_since: float | None = None


def promotion_reason(symptoms, now):
    """Return why the primary must be replaced now, or None.

    Parameters
    ----------
    symptoms : PrimarySymptoms
    now : float
        Present instant.

    Returns
    -------
    str or None
    """

    def has_lasted(since, seconds):
        return since is not None and now - since >= seconds

    if symptoms.primary is None:
        return (
            "unknown"
            if has_lasted(symptoms.primary_unknown_since, NO_PRIMARY_SECONDS)
            else None
        )
    if symptoms.draining:
        return "draining"
    min_seconds = (
        REFUSED_CONNECTIONS_SECONDS
        if symptoms.refuses_connections
        else PRIMARY_UNREACHABLE_SECONDS
    )
    if has_lasted(symptoms.unreachable_since, min_seconds):
        return PRIMARY_UNREACHABLE
    if has_lasted(symptoms.writes_unacknowledged_since, UNACKNOWLEDGED_WRITES_SECONDS):
        return WRITES_UNACKNOWLEDGED
    if has_lasted(symptoms.reported_unreachable_since, UNREACHABLE_REPORTS_SECONDS):
        return "unreachable for others"
    return None
