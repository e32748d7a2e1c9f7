"""Signed session tokens: the latest log position that a session saw in each group."""

import base64
import binascii
import hashlib
import hmac

import attrs
import msgspec

from cassiahill import errors

MAX_MARKS = 8  # Largest number of groups in one token.
MAX_TOKEN_CHARACTERS = 2048
_SIGNATURE_BYTES = 16
_MAX_PAYLOAD_BYTES = MAX_TOKEN_CHARACTERS * 3 // 4 - _SIGNATURE_BYTES


@attrs.frozen(order=False)
class Mark:
    """A point in a group's history: a term and a log position in that term."""

    term: int
    position: int

    # Written by hand, because the comparisons that attrs generates collect the fields
    # by iteration and took a tenth of the time of a point read.
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
    """Content of a session token.

    Attributes
    ----------
    caller : str
        Name of the caller that the session belongs to.
    marks_by_group : dict of str to Mark
        Latest mark that the session saw in each group, the most recently used group
        last.
    """

    caller: str
    marks_by_group: dict = attrs.field(factory=dict)

    def with_mark(self, group, mark):
        """Return a token that includes ``mark`` as seen in ``group``.

        A mark is never replaced by an earlier one. A mark with a later term but a lower
        position belongs to a history that does not contain the previous mark; the
        previous mark is then kept, so that the session's next request fails with
        ``errors.HistoryDiverged``. Only the ``MAX_MARKS`` most recent groups are kept.

        Parameters
        ----------
        group : str
        mark : Mark

        Returns
        -------
        SessionToken
        """
        marks_by_group = dict(self.marks_by_group)
        previous_mark = marks_by_group.pop(group, mark)
        is_later = mark > previous_mark and mark.position >= previous_mark.position
        marks_by_group[group] = mark if is_later else previous_mark
        while len(marks_by_group) > MAX_MARKS:
            del marks_by_group[next(iter(marks_by_group))]
        return SessionToken(self.caller, marks_by_group)


class TokenSigner:
    """Encodes tokens with a signature, and verifies and decodes them.

    Parameters
    ----------
    secrets_by_id : dict of str to bytes
        Secrets whose signatures are accepted; several, so that a secret can be replaced
        while older tokens stay valid.
    current_id : str
        Id of the secret that signs new tokens.
    """

    def __init__(self, secrets_by_id, current_id):
        # Keyed hash states are copied for each signature, which takes a tenth of the
        # time of HMAC-SHA-256 through OpenSSL 3.
        self._keyed_hash_by_id = {
            secret_id: hashlib.blake2b(
                key=secret[: hashlib.blake2b.MAX_KEY_SIZE],
                digest_size=_SIGNATURE_BYTES,
                person=b"session token",
            )
            for secret_id, secret in secrets_by_id.items()
        }
        self._current_id = current_id

    def encode(self, token):
        """Return the token as signed, URL-safe text.

        The oldest marks are left out when long group names would make the text longer
        than ``decode`` accepts.

        Parameters
        ----------
        token : SessionToken

        Returns
        -------
        str
        """
        mark_fields = [
            [group, mark.term, mark.position]
            for group, mark in token.marks_by_group.items()
        ]
        payload = msgspec.msgpack.encode([self._current_id, mark_fields])
        while len(payload) > _MAX_PAYLOAD_BYTES and mark_fields:
            del mark_fields[0]
            payload = msgspec.msgpack.encode([self._current_id, mark_fields])
        signature = self._sign(self._current_id, token.caller, payload)
        return base64.urlsafe_b64encode(signature + payload).decode().rstrip("=")

    def decode(self, text, caller):
        """Verify the signature of ``text`` and return the token that it encodes.

        Parameters
        ----------
        text : str or None
            Signed text; None or the empty text gives a token without marks.
        caller : str
            Name of the caller that sent the text.

        Returns
        -------
        SessionToken

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
            token_bytes = base64.b64decode(
                text + "=" * (-len(text) % 4), b"-_", validate=True
            )
            signature, payload = (
                token_bytes[:_SIGNATURE_BYTES],
                token_bytes[_SIGNATURE_BYTES:],
            )
            secret_id, mark_fields = msgspec.msgpack.decode(
                payload, type=tuple[str, list[tuple[str, int, int]]]
            )
        except (ValueError, binascii.Error, msgspec.MsgspecError) as error:
            raise errors.InvalidToken("the session token is malformed") from error
        if secret_id not in self._keyed_hash_by_id:
            raise errors.InvalidToken("the session token's key is not known")
        expected_signature = self._sign(secret_id, caller, payload)
        if not hmac.compare_digest(signature, expected_signature):
            raise errors.InvalidToken("the session token's signature does not match")
        return SessionToken(
            caller,
            {group: Mark(term, position) for group, term, position in mark_fields},
        )

    def _sign(self, secret_id, caller, payload):
        caller_name = caller.encode()
        signature_hash = self._keyed_hash_by_id[secret_id].copy()
        signature_hash.update(b"%d:" % len(caller_name) + caller_name + payload)
        return signature_hash.digest()
