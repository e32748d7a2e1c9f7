"""Messages, events, actions and small parts of the membership protocol."""

import ipaddress
import math

import attrs
import msgspec

LIVE, SUSPECTED, LEAVING, DEAD = range(4)  # Order of news of the same incarnation.
RETRANSMISSIONS = 3  # Times log2 of the members.
NEWS_PER_MESSAGE = 16
MAX_NEWS_BYTES = 900  # Leaves room for the envelope in 1,200 bytes.
HOST_LIST_SHARE = 1 / 3
HOST_LIST_READINGS = 3
STATE_NAMES = ("live", "suspected", "leaving", "dead")


class Member(msgspec.Struct, array_like=True, frozen=True):
    """What is known of one proxy; the order of ``key`` decides which news wins."""

    name: str
    peer_address: tuple[str, int]
    failure_domain: str
    incarnation: int = 0
    state: int = LIVE

    @property
    def key(self):
        """Return the order of this news among the news of the same member."""
        return (self.incarnation, self.state)

    def replace(self, **changes):
        """Return a copy with changed fields."""
        return msgspec.structs.replace(self, **changes)


def is_well_formed(member, known):
    """Return whether news may be used; ``known`` is the earlier news or None.

    The address must be an IPv4 number, because a name would be resolved when used.
    """
    if not LIVE <= member.state <= DEAD or member.incarnation < 0:
        return False
    if known is not None and member.peer_address == known.peer_address:
        return True
    try:
        ipaddress.IPv4Address(member.peer_address[0])
    except ValueError:
        return False
    return 0 < member.peer_address[1] < 65_536


class Ping(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """Asks for an ``Ack``."""

    number: int
    news: tuple[Member, ...] = ()


class Ack(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """Answers a ``Ping``."""

    number: int
    news: tuple[Member, ...] = ()
    digest: int = 0


class PingRequest(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """Asks the receiver to probe a member."""

    number: int
    target: str
    news: tuple[Member, ...] = ()


class SyncRequest(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """Asks for the members of all buckets with another digest; sent on a link."""

    own_member: Member
    digests: tuple[int, ...]


class SyncAnswer(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """Members that the requester may lack."""

    members: tuple[Member, ...]


WireMessage = Ping | Ack | PingRequest | SyncRequest | SyncAnswer


@attrs.frozen
class Tick:
    """Time has passed; at most 0.1 s apart for exact probe times."""


@attrs.frozen
class MessageReceived:
    """A message of another proxy arrived."""

    sender: str
    message: object


@attrs.frozen
class HostList:
    """A reading of the platform's list: names of live and of leaving hosts."""

    live: frozenset
    leaving: frozenset = frozenset()


@attrs.frozen
class LeaveFleet:
    """The own process leaves."""


@attrs.frozen
class SendMessage:
    """Send a message to an address; a ``SyncRequest`` goes over a link."""

    address: tuple
    message: object


@attrs.frozen
class Changed:
    """The state or address of a member changed."""

    member: Member


@attrs.frozen
class HostsLeaving:
    """Hosts that leave by the platform's list, proxies and backend servers alike."""

    names: frozenset


@attrs.define
class Probe:
    """The probe that runs now."""

    number: int
    target: str
    started_at: float
    indirect: bool = False


class ProbeOrder:
    """Shuffled rounds of all members, which bound the time until each is probed.

    Parameters
    ----------
    rng : random.Random
    """

    def __init__(self, rng):
        self._rng = rng
        self._names = []

    def next(self, members_by_name, own_name):
        """Return the next member that is not dead, or None without any."""
        for _ in range(2):
            while self._names:
                member = members_by_name.get(self._names.pop())
                if member is not None and member.state != DEAD:
                    return member
            self._names = [
                member.name
                for member in members_by_name.values()
                if member.state != DEAD and member.name != own_name
            ]
            self._rng.shuffle(self._names)
        return None


class NewsQueue:
    """Names whose news is still to be sent, a bounded number of times each."""

    def __init__(self):
        self._sends_left_by_name = {}

    def __len__(self):
        return len(self._sends_left_by_name)

    def add(self, name, member_count):
        """Spread the news of a member among ``member_count`` others."""
        sends = RETRANSMISSIONS * math.ceil(math.log2(member_count + 1))
        self._sends_left_by_name[name] = sends

    def discard(self, name):
        """Stop spreading the news of a member."""
        self._sends_left_by_name.pop(name, None)

    def fill(self, news, members_by_name):
        """Append news to a list until a message is full; return the list."""
        size = sum(map(_size, news))
        sends = self._sends_left_by_name
        names = list(sends)
        if len(sends) > NEWS_PER_MESSAGE:
            names.sort(key=sends.get, reverse=True)  # What was sent least often first.
        for name in names:
            member = members_by_name[name]
            size += _size(member)
            if size > MAX_NEWS_BYTES or len(news) > NEWS_PER_MESSAGE:
                break
            news.append(member)
            sends[name] -= 1
            if sends[name] <= 0:
                del sends[name]
        return news


def _size(member):
    return len(member.name) + len(member.failure_domain) + 40


class HostListFilter:
    """Readings of the host list; one that loses many members is read three times."""

    def __init__(self):
        self._listed = frozenset()
        self._removal_readings = 0

    def read(self, hosts, known):
        """Return the known names that have left the list, or None to ignore it.

        Only names that were listed before count, because the list lags.
        """
        listed = hosts.live | hosts.leaving
        removed = (self._listed & known) - listed
        if len(removed) > HOST_LIST_SHARE * (len(known) + 1):
            self._removal_readings += 1
            if self._removal_readings < HOST_LIST_READINGS:
                return None
        self._removal_readings = 0
        self._listed = listed
        return removed
