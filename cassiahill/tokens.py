"""Session tokens: what a session has seen of each group, signed."""

import base64
import binascii
import hashlib
import hmac

import attrs
import msgspec

from cassiahill import errors

MAX_MARKS = 8
MAX_TOKEN_CHARACTERS = 2048
_SIGNATURE_BYTES = 16
_MAX_PAYLOAD_BYTES = MAX_TOKEN_CHARACTERS * 3 // 4 - _SIGNATURE_BYTES


@attrs.frozen(order=False)
class Mark:
    """A point in a group's history: a term and a log position within it."""

    term: int
    position: int

    # The comparisons that attrs generates build tuples of all fields by iteration and
    # took a tenth of a point read.
    def __lt__(self, other):
        return (self.term, self.position) < (other.term, other.position)

    def __le__(self, other):
        return (self.term, self.position) <= (other.term, other.position)

    def __gt__(self, other):
        return (self.term, self.position) > (other.term, other.position)

    def __ge__(self, other):
        return (self.term, self.position) >= (other.term, other.position)


@attrs.frozen
class SessionToken:
    """Marks of one caller's session by group, the most recent last."""

    caller: str
    marks_by_group: dict = attrs.field(factory=dict)

    def with_mark(self, group, mark):
        """Return the token after the session has seen ``mark`` of ``group``.

        A mark never goes back. A later term at a lower position is a history that does
        not contain the previous mark; the previous mark is kept then, so that the
        session's next request is told. Only the ``MAX_MARKS`` most recent groups are
        kept.
        """
        marks = dict(self.marks_by_group)
        previous = marks.pop(group, mark)
        later = mark > previous and mark.position >= previous.position
        marks[group] = mark if later else previous
        while len(marks) > MAX_MARKS:
            del marks[next(iter(marks))]
        return SessionToken(self.caller, marks)


class TokenSigner:
    """Encodes and checks tokens.

    Parameters
    ----------
    secrets_by_id : dict of str to bytes
        Signing secrets; several, so that a secret can be replaced without a break.
    current_id : str
        Secret that signs new tokens.
    """

    def __init__(self, secrets_by_id, current_id):
        # Copying a keyed state costs a tenth of HMAC-SHA-256 through OpenSSL 3.
        self._keyed_by_id = {
            secret_id: hashlib.blake2b(
                key=secret[: hashlib.blake2b.MAX_KEY_SIZE],
                digest_size=_SIGNATURE_BYTES,
                person=b"session token",
            )
            for secret_id, secret in secrets_by_id.items()
        }
        self._current_id = current_id

    def encode(self, token):
        """Return the token as URL-safe text.

        The oldest marks are left out when long group names would make the token longer
        than ``decode`` accepts.
        """
        marks = [[g, m.term, m.position] for g, m in token.marks_by_group.items()]
        payload = msgspec.msgpack.encode([self._current_id, marks])
        while len(payload) > _MAX_PAYLOAD_BYTES and marks:
            del marks[0]
            payload = msgspec.msgpack.encode([self._current_id, marks])
        signature = self._sign(self._current_id, token.caller, payload)
        return base64.urlsafe_b64encode(signature + payload).decode().rstrip("=")

    def decode(self, text, caller):
        """Return the token that ``text`` encodes; an empty one when it is None.

        Raises
        ------
        errors.InvalidToken
            When the text is malformed, forged, or was issued to another caller.
        """
        if not text:
            return SessionToken(caller)
        if len(text) > MAX_TOKEN_CHARACTERS:
            raise errors.InvalidToken("the session token is too long")
        try:
            raw = base64.b64decode(text + "=" * (-len(text) % 4), b"-_", validate=True)
            signature, payload = raw[:_SIGNATURE_BYTES], raw[_SIGNATURE_BYTES:]
            secret_id, marks = msgspec.msgpack.decode(
                payload, type=tuple[str, list[tuple[str, int, int]]]
            )
        except (ValueError, binascii.Error, msgspec.MsgspecError) as error:
            raise errors.InvalidToken("the session token is malformed") from error
        if secret_id not in self._keyed_by_id:
            raise errors.InvalidToken("the session token's key is not known")
        expected = self._sign(secret_id, caller, payload)
        if not hmac.compare_digest(signature, expected):
            raise errors.InvalidToken("the session token's signature does not match")
        return SessionToken(
            caller, {group: Mark(term, position) for group, term, position in marks}
        )

    def _sign(self, secret_id, caller, payload):
        name = caller.encode()
        signature = self._keyed_by_id[secret_id].copy()
        signature.update(b"%d:" % len(name) + name + payload)
        return signature.digest()
