"""Messages between session proxies, and the members that send them."""

import urllib.parse

import attrs
import msgspec

from cassiahill import errors, event_log
from cassiahill.positions import LogPosition
from cassiahill.shared_store import Revision

MEMBER_PREFIX = "proxy."  # Prefix of the members' object names.
HEARTBEAT_PATH = "/v1/pulse"
VIEW_PATH = "/v1/view"
PROMOTION_PATH = "/v1/promotion"
# The names of all groups and tenants fit a configuration of 1 MiB. A heartbeat repeats
# one three times at most, with numbers that are shorter than the rest of its entry.
MAX_HEARTBEAT_BYTES = 4 * 1024 * 1024


class _CopiesOfStore:
    """Revisions of the lists of servers and members, of which a message speaks."""

    __slots__ = ()

    @property
    def servers_as_of(self):
        """``Revision`` of the list of servers."""
        return Revision(self.servers_era, self.servers_revision)

    @property
    def members_as_of(self):
        """``Revision`` of the list of members."""
        return Revision(self.members_era, self.members_revision)


class RateReport(msgspec.Struct, omit_defaults=True):
    """What a proxy tells the promoter about the tenants' rate limits.

    It gives the proxy's static part of each limit to the promoter's pot; see
    ``rate_shares``.

    Attributes
    ----------
    pot_id : str
        Pot that the stamp is of; empty before its first answer.
    stamp : float
        Stamp of the newest answer that the sender has received.
    is_free : bool
        Whether the sender's part is promised to no other pot.
    demand_by_tenant : dict of str to float
        Operations per second, of the tenants that were used recently.
    held_share_by_tenant : dict of str to float
        Shares that the sender holds of another pot.
    held_seconds : float
        Time until these end.
    """

    pot_id: str
    stamp: float = 0.0
    is_free: bool = False
    demand_by_tenant: dict[str, float] = {}
    held_share_by_tenant: dict[str, float] = {}
    held_seconds: float = 0.0


class RateAnswer(msgspec.Struct, omit_defaults=True):
    """Answer to a ``RateReport``.

    Attributes
    ----------
    pot_id : str
    stamp : float
        Instant of the answer on the promoter's clock.
    valid_seconds : float
        Time from the report for which the shares are lent; 0 if nothing is lent.
    share_by_tenant : dict of str to float
        Fractions of the tenants' limits.
    """

    pot_id: str
    stamp: float
    valid_seconds: float = 0.0
    share_by_tenant: dict[str, float] = {}


class Heartbeat(msgspec.Struct, _CopiesOfStore):
    """Heartbeat of a proxy to the promoter or another member.

    Attributes
    ----------
    name : str
    version : int
        Version of the sender's configuration.
    servers_revision : int
        Revision of the sender's list of servers.
    lacking : list of str
        Watched groups whose primary the sender does not reach.
    watched : list of str
        Groups whose servers the sender is connected to.
    members_revision : int
        Revision of the sender's list of members.
    reads_store : bool
        Whether the sender reads the shared store, and the store answers it.
    demand_by_group : dict of str to float
        Average number of the sender's statements that wait or run, by watched group.
    servers_era, members_era : int
        Eras of the two revisions.
    rate_report : RateReport
        Unset in a deployment without tenants, and in heartbeats to others than the
        promoter.
    awaiting : list of str
        Groups in which replicas prove no commits on the sender's connections until the
        store has confirmed the promoter again; see ``commit_witnesses``.
    """

    name: str
    version: int
    servers_revision: int
    lacking: list[str] = []
    watched: list[str] = []
    members_revision: int = 0
    reads_store: bool = False
    demand_by_group: dict[str, float] = {}
    servers_era: int = 0
    members_era: int = 0
    rate_report: RateReport | msgspec.UnsetType = msgspec.UNSET
    awaiting: list[str] | msgspec.UnsetType = msgspec.UNSET


class SettledGroups(msgspec.Struct):
    """The promoter's statement about groups without a promotion under way.

    Attributes
    ----------
    server_ids_by_group : dict of str to list of str
        Servers that the promoter knows of each such group.
    confirmed_age : float
        Seconds since the store has confirmed the promoter's role. The receiver counts
        them from the instant at which it sent the heartbeat.
    """

    server_ids_by_group: dict[str, list[str]]
    confirmed_age: float


class HeartbeatAnswer(msgspec.Struct, _CopiesOfStore):
    """Answer to a heartbeat.

    Attributes
    ----------
    version : int
        Version of the answering proxy's configuration.
    servers_revision : int
        Revision of its list of servers.
    promoter : bool
        Whether it is the promoter.
    cut_off : bool
        Whether it does not reach the other failure domains.
    members_revision : int
        Revision of its list of members.
    reads_store : bool
        Whether it reads the shared store, and the store answers it.
    total_demand_by_group : dict of str to float
        If it is the promoter, the demand of all proxies for the groups that the sender
        watches.
    servers_era, members_era : int
        Eras of the two revisions.
    proved_version : int
        The store held no newer version than this one, ``proof_age`` ago.
    proof_age : float or None
        Seconds at the instant of the answer. The receiver counts them from the instant
        at which it sent the heartbeat. None if there is no proof.
    rate_answer : RateAnswer
        Unset if the sender made no report, or the answering proxy is no promoter.
    draining_seconds_by_id : dict of str to float
        For how long the answering proxy knows that servers drain; unset if none does.
        A proxy that was restarted or cut off learns from it since when they do.
    settled : SettledGroups
        Of the groups that the sender watches; unset if the answering proxy is no
        promoter.
    """

    version: int
    servers_revision: int
    promoter: bool
    cut_off: bool = False
    members_revision: int = 0
    reads_store: bool = False
    total_demand_by_group: dict[str, float] = {}
    servers_era: int = 0
    members_era: int = 0
    proved_version: int = 0
    proof_age: float | None = None
    rate_answer: RateAnswer | msgspec.UnsetType = msgspec.UNSET
    draining_seconds_by_id: dict[str, float] | msgspec.UnsetType = msgspec.UNSET
    settled: SettledGroups | msgspec.UnsetType = msgspec.UNSET


class PromotionNotice(msgspec.Struct):
    """Asks a proxy what a server that is about to be promoted must have.

    Attributes
    ----------
    group : str
    successor : str
        Id of the server.
    term_era, term_revision : int
        ``Revision`` of the sender's term as the promoter, by which an older notice is
        told from a newer one. A proxy of an earlier release does not state it.
    """

    group: str
    successor: str
    term_era: int = 0
    term_revision: int = 0

    @property
    def promoter_term(self):
        """``Revision`` of the sender's term as the promoter; None if not stated."""
        if not self.term_revision:
            return None
        return Revision(self.term_era, self.term_revision)


class NewestCommit(msgspec.Struct, omit_defaults=True):
    """The newest commit of a group that a proxy has seen acknowledged.

    Attributes
    ----------
    term, number : int or None
        Its position; None if there is none.
    newer_era, newer_revision : int
        ``Revision`` of the newest promoter's term that the proxy knows of, if it has
        ignored the notice because of that; otherwise 0.
    replica_ids : list of str
        Servers of the group that the proxy is connected to, without the primary.
    removed_seconds_by_id : dict of str to float
        For how long replicas are removed that may still run beside the primary; see
        ``server_group.ServerGroup.removed_seconds_by_id``.
    """

    term: int | None = None
    number: int | None = None
    newer_era: int = 0
    newer_revision: int = 0
    replica_ids: list[str] = []
    removed_seconds_by_id: dict[str, float] = {}

    @property
    def position(self):
        """The ``positions.LogPosition``, or None."""
        if self.term is None or self.number is None:
            return None
        return LogPosition(self.term, self.number)

    @property
    def newer_term(self):
        """``Revision`` of the newer term for which a notice was ignored, or None."""
        if not self.newer_revision:
            return None
        return Revision(self.newer_era, self.newer_revision)


class StoredPromoter(msgspec.Struct):
    """The stored object that names the promoter."""

    revision: int
    value: object
    era: int = 0


@attrs.frozen
class KnownVersions(_CopiesOfStore):
    """What a proxy knows already when it asks another one for a ``View``.

    Attributes
    ----------
    configuration : int
        Version of the configuration.
    servers_revision, members_revision : int
        Revisions of the list of servers and of the list of members.
    accepts_large : int
        1 if the proxy wants a large configuration too, 0 if it can read it elsewhere.
    servers_era, members_era : int
        Eras of the two revisions.
    """

    configuration: int = 0
    servers_revision: int = attrs.field(default=0, metadata={"query": "servers"})
    members_revision: int = attrs.field(default=0, metadata={"query": "members"})
    accepts_large: int = 1
    servers_era: int = 0
    members_era: int = 0


class View(msgspec.Struct, _CopiesOfStore):
    """Documents of the shared store that a proxy has read, for another proxy.

    Attributes
    ----------
    configuration : object
        Document of the configuration; None if the other proxy has that version, or
        does not want a large one.
    servers_revision : int
    servers : dict of str to object, or None
        Documents of the servers by id; None if the other proxy has that revision.
    members : dict of str to object, or None
        Documents of the session proxies by object name; None if the other proxy has
        that revision.
    members_revision : int
    promoter : StoredPromoter or None
    servers_era, members_era : int
        Eras of the two revisions.
    """

    configuration: object
    servers_revision: int
    servers: dict[str, object] | None
    members: dict[str, object] | None = None
    members_revision: int = 0
    promoter: StoredPromoter | None = None
    servers_era: int = 0
    members_era: int = 0


@attrs.frozen
class Member:
    """A registered proxy.

    Attributes
    ----------
    name : str
    address : tuple of (str, int)
        Where it receives heartbeats.
    relay_address : tuple of (str, int)
        Where it receives relayed sessions.
    failure_domain : str
    """

    name: str
    address: tuple
    relay_address: tuple
    failure_domain: str


def encode_member(member):
    """Return a member's document for the store.

    The document does not change when the process restarts. So a restart needs no
    write, which would end the watches of all other proxies.
    """
    return {
        "address": list(member.address),
        "relay_address": list(member.relay_address),
        "failure_domain": member.failure_domain,
    }


def decode_member(stored_name, value):
    """Return the member that a stored object describes, or None if it is invalid."""
    if not stored_name.startswith(MEMBER_PREFIX):
        return None
    try:
        return Member(
            stored_name.removeprefix(MEMBER_PREFIX),
            (str(value["address"][0]), int(value["address"][1])),
            (str(value["relay_address"][0]), int(value["relay_address"][1])),
            str(value["failure_domain"]),
        )
    except (KeyError, IndexError, TypeError, ValueError) as error:
        event_log.event("member_unreadable", entry=stored_name, cause=repr(error))
        return None


_heartbeat_decoder = msgspec.json.Decoder(Heartbeat)
_heartbeat_answer_decoder = msgspec.json.Decoder(HeartbeatAnswer)
_view_decoder = msgspec.json.Decoder(View)
_promotion_notice_decoder = msgspec.json.Decoder(PromotionNotice)
_commit_decoder = msgspec.json.Decoder(NewestCommit)


def decode_heartbeat(body):
    """Return the heartbeat in a request body.

    Raises
    ------
    errors.MalformedRequest
    """
    return _decode(_heartbeat_decoder, body)


def decode_heartbeat_answer(body):
    """Return the answer to a heartbeat; raises as ``decode_heartbeat`` does."""
    return _decode(_heartbeat_answer_decoder, body)


def encode_view_path(known):
    """Return the path and query to ask a proxy for what is newer than known.

    Parameters
    ----------
    known : KnownVersions
    """
    fields = {
        _query_name(field): getattr(known, field.name)
        for field in attrs.fields(KnownVersions)
    }
    return f"{VIEW_PATH}?{urllib.parse.urlencode(fields)}"


def decode_known_versions(query):
    """Return the ``KnownVersions`` in the query of a request for a view.

    Fields that are left out have their defaults.

    Raises
    ------
    errors.MalformedRequest
    """
    fields = dict(urllib.parse.parse_qsl(query))
    try:
        return KnownVersions(
            *(
                int(fields.get(_query_name(field), field.default))
                for field in attrs.fields(KnownVersions)
            )
        )
    except ValueError as error:
        raise errors.MalformedRequest("a version is not a number") from error


def _query_name(field):
    return field.metadata.get("query", field.name)


def decode_promotion_notice(body):
    """Return the notice in a request body; raises as ``decode_heartbeat`` does."""
    return _decode(_promotion_notice_decoder, body)


def encode_commit(position, newer_term=None):
    """Return the ``NewestCommit`` at a position, which may be None.

    Parameters
    ----------
    position : positions.LogPosition or None
    newer_term : shared_store.Revision or None
        Term of a newer promoter, because of which the notice was ignored.
    """
    commit = NewestCommit()
    if position is not None:
        commit.term, commit.number = position.term, position.number
    if newer_term is not None:
        commit.newer_era, commit.newer_revision = newer_term.era, newer_term.number
    return commit


def decode_commit(body):
    """Return the ``NewestCommit`` in a response; raises as ``decode_heartbeat``."""
    return _decode(_commit_decoder, body)


def decode_view(body):
    """Return the view in a response body; raises as ``decode_heartbeat`` does."""
    return _decode(_view_decoder, body)


def _decode(decoder, body):
    try:
        return decoder.decode(body)
    except msgspec.DecodeError as error:
        raise errors.MalformedRequest("not a message of a proxy") from error
