"""Tests of ``cassiahill.tokens``."""

import base64
import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from cassiahill import errors, tokens
from cassiahill.tokens import Mark, SessionToken

DERANDOMIZED = settings(derandomize=True, max_examples=300, deadline=None)


class TokenTest(unittest.TestCase):
    def setUp(self):
        self.signer = tokens.TokenSigner({"new": b"n" * 32, "old": b"o" * 32}, "new")
        self.token = SessionToken("ana", {"g": Mark(3, 41), "h": Mark(1, 2)})
        self.text = self.signer.encode(self.token)

    def assert_refused(self, text, caller="ana", signer=None):
        with self.assertRaises(errors.InvalidToken):
            (signer or self.signer).decode(text, caller)

    def test_round_trip(self):
        """Guards against marks that encoding and decoding change."""
        self.assertEqual(self.signer.decode(self.text, "ana"), self.token)
        self.assertEqual(self.signer.decode(None, "ana"), SessionToken("ana"))

    def test_each_forged_byte_and_each_truncation_is_refused(self):
        """Guards against a token that a caller has changed and that is accepted."""
        token_bytes = base64.urlsafe_b64decode(self.text + "=" * (-len(self.text) % 4))
        for index in range(len(token_bytes)):
            forged = bytearray(token_bytes)
            forged[index] ^= 1
            self.assert_refused(base64.urlsafe_b64encode(forged).decode().rstrip("="))
            truncated = (
                base64.urlsafe_b64encode(token_bytes[:index]).decode().rstrip("=")
            )
            if truncated:
                self.assert_refused(truncated)

    def test_another_callers_token_is_refused(self):
        """Guards against a caller that uses the token of another caller."""
        self.assert_refused(self.text, caller="bob")
        self.assert_refused(self.text, caller="ana\x00")

    def test_length_and_secret_id_are_checked(self):
        """Guards against oversized tokens and signatures of a removed secret."""
        self.assert_refused("A" * (tokens.MAX_TOKEN_CHARACTERS + 1))
        self.assert_refused(
            self.text, signer=tokens.TokenSigner({"old": b"o" * 32}, "old")
        )
        payload = msgspec.msgpack.encode(["nobody", []])
        self.assert_refused(base64.urlsafe_b64encode(b"s" * 16 + payload).decode())

    def test_token_signed_with_the_previous_secret_still_decodes(self):
        """Guards against losing all sessions when the signing secret is replaced."""
        text = tokens.TokenSigner({"old": b"o" * 32}, "old").encode(self.token)
        self.assertEqual(self.signer.decode(text, "ana"), self.token)

    def test_marks_never_go_back_and_only_the_most_recent_are_kept(self):
        """Guards against non-monotonic reads and tokens that grow without bound."""
        token = self.token.with_mark("g", Mark(2, 99))
        self.assertEqual(token.marks_by_group["g"], Mark(3, 41))
        for group_number in range(tokens.MAX_MARKS):
            token = token.with_mark(f"n{group_number}", Mark(1, 1))
        self.assertEqual(len(token.marks_by_group), tokens.MAX_MARKS)
        self.assertNotIn("g", token.marks_by_group)

    def test_long_group_names_give_a_token_that_decodes(self):
        """Guards against a token that is longer than the proxy itself accepts."""
        marks_by_group = {
            f"{group_number}" * 400: Mark(1, group_number)
            for group_number in range(tokens.MAX_MARKS)
        }
        decoded = self.signer.decode(
            self.signer.encode(SessionToken("ana", marks_by_group)), "ana"
        )
        self.assertIn("7" * 400, decoded.marks_by_group)

    @DERANDOMIZED
    @given(st.one_of(st.text(max_size=80), st.binary(max_size=80).map(
        lambda raw: base64.urlsafe_b64encode(raw).decode().rstrip("="))))  # fmt: skip
    def test_random_text_is_refused(self, text):
        """Guards against text from callers that raises another exception."""
        if text:
            self.assert_refused(text)

    @DERANDOMIZED
    @given(st.binary(max_size=60), st.binary(min_size=16, max_size=16))
    def test_random_payload_with_a_known_secret_id_is_refused(
        self, random_bytes, signature
    ):
        """Guards against decoder exceptions on random bytes after a valid prefix."""
        payload = b"\x92" + msgspec.msgpack.encode("new") + random_bytes
        self.assert_refused(
            base64.urlsafe_b64encode(signature + payload).decode().rstrip("=")
        )
