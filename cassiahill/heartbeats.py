"""Messages between session proxies, and the members that send them."""

import attrs
import msgspec

from cassiahill import errors, event_log

MEMBER_PREFIX = "proxy."  # Of the names of the members' objects in the store.
PULSE_PATH = "/v1/pulse"
VIEW_PATH = "/v1/view"


class Pulse(msgspec.Struct):
    """What a proxy tells the promoter, or a peer while the store is away.

    ``watched`` names the groups whose servers it is connected to, and ``lacking`` those
    of them whose primary it does not reach.
    """

    name: str
    version: int
    servers_revision: int
    lacking: list[str] = []
    watched: list[str] = []


class PulseAnswer(msgspec.Struct):
    """Answer to a pulse."""

    version: int
    servers_revision: int
    promoter: bool
    cut_off: bool = False


class View(msgspec.Struct):
    """What a proxy has learned from the shared store, as it was written there."""

    configuration: object
    servers_revision: int
    servers: dict[str, object]
    members: dict[str, object] = {}


@attrs.frozen
class Member:
    """A registered proxy.

    Attributes
    ----------
    name : str
    address : tuple of (str, int)
        For pulses.
    relay_address : tuple of (str, int)
        For sessions that other proxies relay there.
    failure_domain : str
    """

    name: str
    address: tuple
    relay_address: tuple
    failure_domain: str


def encode_member(member):
    """Return the plain values of a member's object in the store.

    They stay the same when the process restarts, so that it need not write them again
    and the watches of all others go on.
    """
    return {
        "address": list(member.address),
        "relay_address": list(member.relay_address),
        "failure_domain": member.failure_domain,
    }


def decode_member(stored_name, value):
    """Return the member that an object describes, or None for another writer's."""
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
        event_log.event("member_unreadable", name=stored_name, cause=repr(error))
        return None


_pulse_decoder = msgspec.json.Decoder(Pulse)
_answer_decoder = msgspec.json.Decoder(PulseAnswer)
_view_decoder = msgspec.json.Decoder(View)


def decode_pulse(body):
    """Return the pulse in a body.

    Raises
    ------
    errors.MalformedRequest
    """
    return _decode(_pulse_decoder, body)


def decode_answer(body):
    """Return the answer to a pulse; see ``decode_pulse`` for errors."""
    return _decode(_answer_decoder, body)


def decode_view(body):
    """Return the view in a body; see ``decode_pulse`` for errors."""
    return _decode(_view_decoder, body)


def _decode(decoder, body):
    try:
        return decoder.decode(body)
    except msgspec.DecodeError as error:
        raise errors.MalformedRequest("not a message of a proxy") from error
