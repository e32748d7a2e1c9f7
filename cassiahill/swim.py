"""Messages, events, actions and helper classes of the SWIM membership protocol."""

import ipaddress
import math

import attrs
import msgspec

# Of two updates with the same incarnation, the one with the higher state wins.
LIVE, SUSPECTED, LEAVING, DEAD = range(4)
RETRANSMIT_FACTOR = 3  # An update is sent this often, times log2 of the members.
MAX_UPDATES_PER_MESSAGE = 16
MAX_UPDATES_BYTES = 900  # Leaves room for the envelope in a 1,200-byte datagram.
# A host list that loses a larger share of the members takes effect only after
# ``HOST_REMOVAL_READINGS`` such readings in a row.
MAX_REMOVED_HOST_SHARE = 1 / 3
HOST_REMOVAL_READINGS = 3
STATE_NAMES = ("live", "suspected", "leaving", "dead")


class Member(msgspec.Struct, array_like=True, frozen=True):
    """State of one proxy; the update with the highest precedence wins."""

    name: str
    peer_address: tuple[str, int]
    failure_domain: str
    incarnation: int = 0
    state: int = LIVE

    @property
    def precedence(self):
        """Order of this update among the updates of the same member."""
        return (self.incarnation, self.state)

    def replace(self, **changes):
        """Return a copy with changed fields."""
        return msgspec.structs.replace(self, **changes)


def is_well_formed(member, current):
    """Return whether an update is valid.

    Parameters
    ----------
    member : Member
        The update.
    current : Member or None
        The entry that this process holds of the same proxy.

    Notes
    -----
    The address must be numeric (IPv4): sending to a host name would resolve it.
    """
    if not LIVE <= member.state <= DEAD or member.incarnation < 0:
        return False
    if current is not None and member.peer_address == current.peer_address:
        return True
    try:
        ipaddress.IPv4Address(member.peer_address[0])
    except ValueError:
        return False
    return 0 < member.peer_address[1] < 65_536


class Ping(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """Probes the receiver, which answers with ``Ack``."""

    sequence: int
    updates: tuple[Member, ...] = ()


class Ack(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """Acknowledges a ``Ping``, or pushes updates with sequence 0.

    ``digest`` is the hash of the sender's view.
    """

    sequence: int
    updates: tuple[Member, ...] = ()
    digest: int = 0


class PingRequest(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """Asks the receiver to probe the member ``target`` and to relay its ``Ack``."""

    sequence: int
    target: str
    updates: tuple[Member, ...] = ()


class SyncRequest(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """Asks for the members of the buckets whose digests differ; sent on a link."""

    own_member: Member
    digests: tuple[int, ...]


class SyncAnswer(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """Members that the requester may not know."""

    members: tuple[Member, ...]


WireMessage = Ping | Ack | PingRequest | SyncRequest | SyncAnswer


@attrs.frozen
class Tick:
    """Time has passed; sent at least every 0.1 s, so that probe times are accurate."""


@attrs.frozen
class MessageReceived:
    """A message from another proxy arrived."""

    sender: str
    message: object


@attrs.frozen
class HostList:
    """Names of the live and the leaving hosts, as read from the platform."""

    live: frozenset
    leaving: frozenset = frozenset()


@attrs.frozen
class LeaveFleet:
    """The local process leaves the fleet."""


@attrs.frozen
class SendMessage:
    """Asks the driver to send a message; a ``SyncRequest`` goes over a link."""

    address: tuple
    message: object


@attrs.frozen
class MemberChanged:
    """Tells that the state or address of a member changed."""

    member: Member


@attrs.frozen
class LeavingHostsChanged:
    """Tells the new set of leaving hosts, proxies and backend servers included."""

    names: frozenset


@attrs.define
class Probe:
    """The probe whose acknowledgement this process awaits."""

    sequence: int
    target: str
    started_at: float
    indirect_sent: bool = False


class ProbeOrder:
    """Order of the probe targets: all members, shuffled anew in every round.

    This bounds the time until each member is probed.

    Parameters
    ----------
    rng : random.Random
    """

    def __init__(self, rng):
        self._rng = rng
        self._remaining_names = []

    def next_target(self, members_by_name, own_name):
        """Return the next member that is not dead, or None when there is none."""
        for _ in range(2):
            while self._remaining_names:
                member = members_by_name.get(self._remaining_names.pop())
                if member is not None and member.state != DEAD:
                    return member
            self._remaining_names = [
                member.name
                for member in members_by_name.values()
                if member.state != DEAD and member.name != own_name
            ]
            self._rng.shuffle(self._remaining_names)
        return None


class UpdateQueue:
    """Names of the members whose updates are still to be sent, and how often."""

    def __init__(self):
        self._sends_left_by_name = {}

    def __len__(self):
        return len(self._sends_left_by_name)

    def add(self, name, member_count):
        """Schedule the update of a member for retransmission.

        Parameters
        ----------
        name : str
        member_count : int
            Members among which the update spreads.
        """
        send_count = RETRANSMIT_FACTOR * math.ceil(math.log2(member_count + 1))
        self._sends_left_by_name[name] = send_count

    def discard(self, name):
        """Stop sending the update of a member."""
        self._sends_left_by_name.pop(name, None)

    def fill_message(self, updates, members_by_name):
        """Append pending updates to a list until a message is full; return the list."""
        total_bytes = sum(map(_estimated_bytes, updates))
        sends_left = self._sends_left_by_name
        names = list(sends_left)
        if len(sends_left) > MAX_UPDATES_PER_MESSAGE:
            names.sort(key=sends_left.get, reverse=True)  # The least often sent first.
        for name in names:
            member = members_by_name[name]
            total_bytes += _estimated_bytes(member)
            if (
                total_bytes > MAX_UPDATES_BYTES
                or len(updates) > MAX_UPDATES_PER_MESSAGE
            ):
                break
            updates.append(member)
            sends_left[name] -= 1
            if sends_left[name] <= 0:
                del sends_left[name]
        return updates


def _estimated_bytes(member):
    # 40 bytes for the fields other than the two names.
    return len(member.name) + len(member.failure_domain) + 40


class HostListFilter:
    """Finds the members that left the host list.

    A loss of many members takes effect only after ``HOST_REMOVAL_READINGS`` readings,
    so that one wrong host list does not empty the fleet.
    """

    def __init__(self):
        self._listed_hosts = frozenset()
        self._removal_reading_count = 0

    def process_reading(self, host_list, known_names):
        """Return the names that have left the host list, or None to ignore a reading.

        Parameters
        ----------
        host_list : HostList
        known_names : set of str
            Members that are not dead. Those that no earlier reading listed are kept,
            because the list lags.
        """
        listed_hosts = host_list.live | host_list.leaving
        removed_names = (self._listed_hosts & known_names) - listed_hosts
        if len(removed_names) > MAX_REMOVED_HOST_SHARE * (len(known_names) + 1):
            self._removal_reading_count += 1
            if self._removal_reading_count < HOST_REMOVAL_READINGS:
                return None
        self._removal_reading_count = 0
        self._listed_hosts = listed_hosts
        return removed_names
