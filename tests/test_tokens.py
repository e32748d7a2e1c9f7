"""Tests of ``cassiahill.tokens``."""

import base64
import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from cassiahill import errors, tokens
from cassiahill.tokens import Mark, SessionToken

FIXED = settings(derandomize=True, max_examples=300, deadline=None)


class TokenTest(unittest.TestCase):
    def setUp(self):
        self.signer = tokens.TokenSigner({"new": b"n" * 32, "old": b"o" * 32}, "new")
        self.token = SessionToken("ana", {"g": Mark(3, 41), "h": Mark(1, 2)})
        self.text = self.signer.encode(self.token)

    def refused(self, text, caller="ana", signer=None):
        with self.assertRaises(errors.InvalidToken):
            (signer or self.signer).decode(text, caller)

    def test_round_trip(self):
        """Guards against marks that change on their way through a caller."""
        self.assertEqual(self.signer.decode(self.text, "ana"), self.token)
        self.assertEqual(self.signer.decode(None, "ana"), SessionToken("ana"))

    def test_each_forged_byte_and_each_truncation_is_refused(self):
        """Guards against marks that a caller changes."""
        raw = base64.urlsafe_b64decode(self.text + "=" * (-len(self.text) % 4))
        for index in range(len(raw)):
            forged = bytearray(raw)
            forged[index] ^= 1
            self.refused(base64.urlsafe_b64encode(forged).decode().rstrip("="))
            cut = base64.urlsafe_b64encode(raw[:index]).decode().rstrip("=")
            if cut:
                self.refused(cut)

    def test_another_callers_token_is_refused(self):
        """Guards against a token that moves between callers."""
        self.refused(self.text, caller="bob")
        self.refused(self.text, caller="ana\x00")

    def test_length_and_key_id_are_checked(self):
        """Guards against large tokens and against keys that were withdrawn."""
        self.refused("A" * (tokens.MAX_TOKEN_CHARACTERS + 1))
        self.refused(self.text, signer=tokens.TokenSigner({"old": b"o" * 32}, "old"))
        payload = msgspec.msgpack.encode(["nobody", []])
        self.refused(base64.urlsafe_b64encode(b"s" * 16 + payload).decode())

    def test_replaced_key_still_decodes(self):
        """Guards against a break of all sessions when a secret is replaced."""
        text = tokens.TokenSigner({"old": b"o" * 32}, "old").encode(self.token)
        self.assertEqual(self.signer.decode(text, "ana"), self.token)

    def test_marks_never_go_back_and_only_the_recent_stay(self):
        """Guards against reads that go back and tokens that grow without bound."""
        token = self.token.with_mark("g", Mark(2, 99))
        self.assertEqual(token.marks_by_group["g"], Mark(3, 41))
        for number in range(tokens.MAX_MARKS):
            token = token.with_mark(f"n{number}", Mark(1, 1))
        self.assertEqual(len(token.marks_by_group), tokens.MAX_MARKS)
        self.assertNotIn("g", token.marks_by_group)

    def test_long_group_names_give_a_token_that_decodes(self):
        """Guards against a token that is too long for its own proxy."""
        marks = {f"{n}" * 400: Mark(1, n) for n in range(tokens.MAX_MARKS)}
        decoded = self.signer.decode(
            self.signer.encode(SessionToken("ana", marks)), "ana"
        )
        self.assertIn("7" * 400, decoded.marks_by_group)

    @FIXED
    @given(st.one_of(st.text(max_size=80), st.binary(max_size=80).map(
        lambda raw: base64.urlsafe_b64encode(raw).decode().rstrip("="))))  # fmt: skip
    def test_random_text_is_refused(self, text):
        """Guards against any other exception on what callers send."""
        if text:
            self.refused(text)

    @FIXED
    @given(st.binary(max_size=60), st.binary(min_size=16, max_size=16))
    def test_random_payload_with_a_known_key_id_is_refused(self, tail, signature):
        """Guards against exceptions of the decoder behind a plausible prefix."""
        payload = b"\x92" + msgspec.msgpack.encode("new") + tail
        self.refused(base64.urlsafe_b64encode(signature + payload).decode().rstrip("="))
