"""Elects the promoter, the one session proxy that orders promotions.

An object in the shared store names the promoter, and the fencing tokens are derived
from its revision. When the promoter stops answering, another proxy replaces the object
with a conditional write. Orders of the former promoter then carry lower tokens and are
refused.
"""

import secrets

import attrs
import xxhash

from cassiahill import errors, event_log
from cassiahill.shared_store import Revision

PROMOTER_NAME = "promoter"
# Three heartbeat intervals. A restart of the promoter takes longer.
PROMOTER_TIMEOUT_SECONDS = 1.3
CLAIM_STAGGER_SECONDS = 0.4  # Further delay of a claim for each rank.
INITIAL_CLAIM_STAGGER_SECONDS = 0.05
CLAIM_DELAY_AFTER_RESIGNING_SECONDS = 3.0
CONFIRM_TIMEOUT_SECONDS = 0.25  # A reachable store answers in milliseconds.
# Each order takes one token. A promoter's tokens stay below those of its successor, in
# this era of the store or in a later one.
TOKENS_PER_REVISION = 1000
TOKENS_PER_ERA = 10**14  # Tokens stay exact as a double for 90 eras.


@attrs.frozen
class Promoter:
    """The promoter that the store names.

    Attributes
    ----------
    name : str
    incarnation : str
        Differs for each start of the process.
    revision : shared_store.Revision
        Revision of the object that names the promoter.
    """

    name: str
    incarnation: str
    revision: Revision


@attrs.define
class FencingTokens:
    """Issues the fencing tokens of one promoter's term, each one once."""

    revision: Revision
    issued_count: int = 0

    def next_token(self):
        """Return the next token, or None when the term's tokens are used up."""
        if self.issued_count >= TOKENS_PER_REVISION - 1:
            return None
        self.issued_count += 1
        return (
            self.revision.era * TOKENS_PER_ERA
            + self.revision.number * TOKENS_PER_REVISION
            + self.issued_count
        )


class PromoterElection:
    """The promoter known to this process, and this process's claims to the role.

    Parameters
    ----------
    loop : loop.EventLoop
    store : shared_store.SharedStore
    kind : str
        Kind of the object that names the promoter.
    own_name : str
    candidate_domains : callable
        Returns the failure domain of each candidate for the role, by its name.

    Attributes
    ----------
    promoter : Promoter or None
    predecessor_name : str or None
        The promoter that this process has followed with its last claim.
    newest_term : shared_store.Revision
        The newest term of a promoter that this process has heard of; ``Revision()``
        before the first one.
    shutting_down : bool
        Whether this process shuts down; it is not a promoter then.
    confirmed_at : float
        Instant before the store last named this process as the promoter.
    """

    def __init__(self, loop, store, kind, own_name, candidate_domains):
        self._loop = loop
        self._store = store
        self._kind = kind
        self._own_name = own_name
        # Differs for each start, so that a restarted promoter claims a new term.
        self._incarnation = secrets.token_hex(8)
        self._candidate_domains = candidate_domains
        self._tokens = None
        self._claiming = False
        self._timeout_started_at = loop.clock.now()
        self._resigned_until = float("-inf")
        self._former_name = None
        self.promoter = None
        self.predecessor_name = None
        self.newest_term = Revision()
        self.shutting_down = False
        self.confirmed_at = float("-inf")

    @property
    def is_promoter(self):
        """Whether this process is the promoter, as far as it knows."""
        resigned = self._loop.clock.now() < self._resigned_until
        return self._tokens is not None and not self.shutting_down and not resigned

    @property
    def own_term(self):
        """Text that differs for each term of this process; None if not the promoter."""
        if not self.is_promoter:
            return None
        revision = self._tokens.revision
        return f"{self._incarnation}.{revision.era}.{revision.number}"

    @property
    def term_revision(self):
        """``Revision`` of this process's term; None if it is not the promoter."""
        return self._tokens.revision if self.is_promoter else None

    def record_term(self, revision):
        """Record the term of a promoter that another process has stated.

        A newer term than the own one ends this process's role, also while the store
        does not answer it.

        Parameters
        ----------
        revision : shared_store.Revision

        Returns
        -------
        bool
            Whether no newer term is known.
        """
        if revision < self.newest_term:
            return False
        self.newest_term = revision
        if self._tokens is not None and self._tokens.revision < revision:
            self._tokens = None
            event_log.event(
                "promoter_lost", to=None, revision=revision.number, era=revision.era
            )
        return True

    def next_token(self):
        """Return a fencing token for one order, or None if not the promoter."""
        return self._tokens.next_token() if self.is_promoter else None

    def confirm_promoter(self, strictly=False):
        """Return the future of whether the store still names this process.

        Parameters
        ----------
        strictly : bool
            Whether a missing answer from the store counts as a refusal. Otherwise the
            process remains the promoter without one, which is enough to give an order:
            a successor's orders carry higher tokens.
        """
        return self._loop.spawn(self._confirm_promoter(strictly))

    def resign(self):
        """Give up the role for a while, because this process cannot promote."""
        if self.is_promoter:
            self._resigned_until = (
                self._loop.clock.now() + CLAIM_DELAY_AFTER_RESIGNING_SECONDS
            )
            event_log.event("promoter_resigns")

    def restart_timeout(self, now):
        """Restart the promoter's timeout, after an answer or when none could arrive."""
        self._timeout_started_at = now

    def record_resignation(self, now):
        """Record that the promoter has resigned or is shutting down."""
        self._timeout_started_at = min(
            self._timeout_started_at, now - PROMOTER_TIMEOUT_SECONDS
        )

    def apply_stored(self, stored):
        """Apply the stored object that names the promoter, if it is newer."""
        known_promoter = self.promoter
        if known_promoter is not None and stored.revision <= known_promoter.revision:
            return
        value = stored.value if isinstance(stored.value, dict) else {}
        holder = str(value.get("holder"))
        incarnation = str(value.get("incarnation"))
        self.promoter = Promoter(holder, incarnation, stored.revision)
        self.newest_term = max(self.newest_term, stored.revision)
        self._timeout_started_at = self._loop.clock.now()
        self._former_name = None
        event_log.event(
            "promoter_changed",
            holder=holder,
            revision=stored.revision.number,
            era=stored.revision.era,
        )
        self._drop_stale_tokens()

    def record_deletion(self, revision):
        """Record that no object names the promoter.

        It was deleted, or was written after the copy to which the store has returned.

        Parameters
        ----------
        revision : shared_store.Revision
            Revision as of which there is none.
        """
        if self.promoter is None or revision < self.promoter.revision:
            return
        # The former promoter claims the role again before others do.
        self._former_name = self.promoter.name
        self._timeout_started_at = self._loop.clock.now()
        self.promoter = None
        event_log.event(
            "promoter_missing",
            former=self._former_name,
            revision=revision.number,
            era=revision.era,
        )
        if self._tokens is not None:
            # Another process may hold the role by now, of which the store knows.
            self._tokens = None
            event_log.event("promoter_lost", to=None)

    def dump(self):
        """Return the known promoter and this process's role, as plain values."""
        return {
            "promoter": None if self.promoter is None else self.promoter.name,
            "is_promoter": self.is_promoter,
            "tokens_given": 0 if self._tokens is None else self._tokens.issued_count,
        }

    def _drop_stale_tokens(self):
        """Drop this process's tokens when the store names another promoter."""
        promoter = self.promoter
        if self._tokens is None or promoter is None:
            return
        own_identity = (self._own_name, self._incarnation)
        if (promoter.name, promoter.incarnation) == own_identity:
            return
        if promoter.revision > self._tokens.revision:
            self._tokens = None
            event_log.event("promoter_lost", to=promoter.name)

    @property
    def is_successor(self):
        """Whether this process is the first to claim the role of another promoter."""
        promoter = self.promoter
        return (
            promoter is not None
            and promoter.name != self._own_name
            and self._claim_rank() == 0
        )

    @property
    def is_last_holder(self):
        """Whether the promoter known last is this process, or a former run of it."""
        return self._last_holder() == self._own_name

    def _last_holder(self):
        return self._former_name if self.promoter is None else self.promoter.name

    def _claim_rank(self):
        """Return this proxy's rank among the possible successors.

        Candidates in other failure domains than the promoter's come first: its whole
        domain may be lost. A proxy that is no candidate comes after all of them.
        """
        promoter = self.promoter
        domains_by_name = dict(self._candidate_domains())
        lost_domain = None
        seed = 0
        if promoter is not None:
            lost_domain = domains_by_name.pop(promoter.name, None)
            seed = promoter.revision.number
        ordered_names = sorted(
            domains_by_name,
            key=lambda name: (
                domains_by_name[name] == lost_domain,
                xxhash.xxh3_64_intdigest(name.encode(), seed),
            ),
        )
        if self._own_name in domains_by_name:
            return ordered_names.index(self._own_name)
        own_digest = xxhash.xxh3_64_intdigest(self._own_name.encode(), seed)
        return len(ordered_names) + own_digest % max(1, len(ordered_names))

    def claim_if_due(self, now):
        """Claim the role once the promoter's timeout and the rank's delay are over."""
        if self._claiming or self.shutting_down or now < self._resigned_until:
            return
        if now - self._timeout_started_at >= self._claim_delay_seconds():
            self._claiming = True
            self._loop.spawn(self._claim_promoter_role(self.promoter))

    def _claim_delay_seconds(self):
        """Return the delay of a claim after the promoter's last sign of life."""
        if self.is_last_holder:
            return 0.0
        if self._last_holder() is None:
            return INITIAL_CLAIM_STAGGER_SECONDS * self._claim_rank()
        return PROMOTER_TIMEOUT_SECONDS + CLAIM_STAGGER_SECONDS * self._claim_rank()

    def _claim_promoter_role(self, promoter):
        value = self._own_document()
        asked_at = self._loop.clock.now()
        self.predecessor_name = self._last_holder()
        try:
            if promoter is None:
                stored = yield self._store.create(self._kind, PROMOTER_NAME, value)
            else:
                stored = yield self._store.replace(
                    self._kind, PROMOTER_NAME, value, promoter.revision
                )
            self._accept_own_claim(stored)
            self.confirmed_at = asked_at
        except errors.Conflict:
            yield from self._read_promoter()
        except errors.CassiahillError as error:
            event_log.event("claim_failed", cause=error.detail)
            yield from self._read_promoter()
        finally:
            self._claiming = False

    def _read_promoter(self):
        """Read the promoter from the store; an unanswered claim may have succeeded."""
        known_promoter = self.promoter
        try:
            stored = yield self._store.get(self._kind, PROMOTER_NAME)
        except errors.CassiahillError as error:
            event_log.event("promoter_unknown", cause=error.detail)
            return
        if stored is None:
            self._record_missing(known_promoter)
            return
        self.apply_stored(stored)
        if stored.value == self._own_document():
            self._accept_own_claim(stored)

    def _own_document(self):
        """Return the document that names this process as the promoter."""
        return {"holder": self._own_name, "incarnation": self._incarnation}

    def _confirm_promoter(self, strictly):
        """Read the promoter from the store; return whether it is this process."""
        known_promoter = self.promoter
        asked_at = self._loop.clock.now()
        deadline = asked_at + CONFIRM_TIMEOUT_SECONDS
        timeout_error = errors.PlatformUnavailable("no answer in time")
        try:
            stored = yield self._loop.with_deadline(
                self._store.get(self._kind, PROMOTER_NAME), deadline, timeout_error
            )
        except errors.CassiahillError as error:
            event_log.event("promoter_unconfirmed", cause=error.detail)
            return self.is_promoter and not strictly
        if stored is None:
            self._record_missing(known_promoter)
        else:
            self.apply_stored(stored)
        if self.is_promoter:
            self.confirmed_at = asked_at
        return self.is_promoter

    def _record_missing(self, known_promoter):
        """Record that the store has no object for the promoter known at the call."""
        if known_promoter is not None and self.promoter == known_promoter:
            era = max(self._store.era, known_promoter.revision.era)
            self.record_deletion(attrs.evolve(known_promoter.revision, era=era))

    def _accept_own_claim(self, stored):
        """Become the promoter with the tokens of the stored revision."""
        self.apply_stored(stored)
        if stored.revision < self.newest_term:
            # Another process has become the promoter since.
            return
        if self._tokens is None or stored.revision > self._tokens.revision:
            self._tokens = FencingTokens(stored.revision)
            event_log.event(
                "promoter_gained",
                revision=stored.revision.number,
                era=stored.revision.era,
            )
