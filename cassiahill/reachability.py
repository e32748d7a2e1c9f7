"""Whether this process is cut off from the other failure domains.

It answers the cut of a failure domain or of one host: clients still reach the process,
but it can serve little. It then asks the balancer for no more clients and lets idle
sessions go, so that they come back through a failure domain that is connected.
"""

import attrs

# A server is asked every 0.4 s, so several questions have had no answer by then.
SILENT_SECONDS = 0.7


@attrs.frozen
class Contact:
    """What is known of the path to one backend server.

    Attributes
    ----------
    failure_domain : str
    answered_at : float
        Instant of its last answer.
    unanswered : bool
        Whether something was asked since, without an answer.
    """

    failure_domain: str
    answered_at: float
    unanswered: bool


# Fewer servers than this may all be silent for reasons of their own group, so the peers
# of other domains must be silent too.
ENOUGH_SERVERS = 4


def relevant_contacts(own_domain, servers, peers):
    """Return the contacts that tell whether this process is cut off.

    Parameters
    ----------
    own_domain : str
    servers, peers : list of Contact
    """
    elsewhere = sum(one.failure_domain != own_domain for one in servers)
    return servers if elsewhere >= ENOUGH_SERVERS else servers + peers


def is_partitioned(own_domain, contacts, now):
    """Return whether no server of another failure domain answers.

    Parameters
    ----------
    own_domain : str
    contacts : iterable of Contact
    now : float

    Returns
    -------
    bool
        False also when there is no server in another failure domain.
    """
    others = [one for one in contacts if one.failure_domain != own_domain]
    return bool(others) and all(
        one.unanswered and now - one.answered_at > SILENT_SECONDS for one in others
    )


def partitioned_since(since, own_domain, contacts, now):
    """Return the instant since which this process is cut off, or None.

    A cut that has been seen ends with an answer from another domain, not when for a
    moment nothing is asked.

    Parameters
    ----------
    since : float or None
        What this function returned last.
    own_domain : str
    contacts : iterable of Contact
    now : float
    """
    if since is None:
        return now if is_partitioned(own_domain, contacts, now) else None
    heard = any(
        one.answered_at > since for one in contacts if one.failure_domain != own_domain
    )
    return None if heard else since
