"""Which session proxy orders promotions, and its fencing tokens.

One object in the shared store names the promoter, the only proxy that orders
promotions; its revision gives the tokens. When the promoter is silent, the next proxy
takes its place with a conditional write. A promoter that still acts is then refused by
its lower tokens.
"""

import secrets

import attrs
import xxhash

from cassiahill import errors, event_log

PROMOTER_NAME = "promoter"
SILENT_SECONDS = 1.3  # Three pulses; a restart of the promoter takes longer.
RANK_SECONDS = 0.4  # The next proxy waits this long for the one before it.
FIRST_RANK_SECONDS = 0.05
RESIGNED_SECONDS = 3.0
CONFIRM_SECONDS = 0.25  # The store answers in milliseconds when it answers.
# One token for each order of a promoter: its tokens stay below the next promoter's.
TOKENS_PER_REVISION = 1000


@attrs.frozen
class Promoter:
    """The proxy that orders promotions, as the store names it."""

    name: str
    incarnation: str
    revision: int


@attrs.define
class Tokens:
    """Fencing tokens of one promoter's term; each is given once."""

    revision: int
    given: int = 0

    def take(self):
        """Return the next token, or None when the term has none left."""
        if self.given >= TOKENS_PER_REVISION - 1:
            return None
        self.given += 1
        return self.revision * TOKENS_PER_REVISION + self.given


class PromoterPlace:
    """The promoter as this process knows it, and this process's right to be it.

    Parameters
    ----------
    loop : loop.EventLoop
    store : shared_store.SharedStore
    kind : str
        Kind of the object that names the promoter.
    own_name : str
    member_names : callable
        Returns the names of all registered proxies.

    Attributes
    ----------
    promoter : Promoter or None
    leaving : bool
        Whether this process stops; it orders nothing more then.
    """

    def __init__(self, loop, store, kind, own_name, member_names):
        self._loop = loop
        self._store = store
        self._kind = kind
        self._own_name = own_name
        # Differs for each start, so that a restarted promoter claims its place anew.
        self._incarnation = secrets.token_hex(8)
        self._member_names = member_names
        self._tokens = None
        self._claiming = False
        self._heard_at = loop.clock.now()
        self._resigned_until = float("-inf")
        self.promoter = None
        self.leaving = False

    @property
    def is_promoter(self):
        """Whether this process may order promotions, as far as it knows."""
        resigned = self._loop.clock.now() < self._resigned_until
        return self._tokens is not None and not self.leaving and not resigned

    def next_token(self):
        """Return a fencing token for one order, or None."""
        return self._tokens.take() if self.is_promoter else None

    def confirm(self):
        """Return the future of whether the store still names this process.

        Without an answer of the store the process goes on with the tokens that it
        has: a successor's orders carry higher ones.
        """
        return self._loop.spawn(self._confirm())

    def resign(self):
        """Let another proxy order promotions, because this one cannot."""
        if self.is_promoter:
            self._resigned_until = self._loop.clock.now() + RESIGNED_SECONDS
            event_log.event("promoter_resigns")

    def heard(self, now):
        """Take a sign of life of the promoter, or of time that nobody was awake."""
        self._heard_at = now

    def released(self, now):
        """Take note that the promoter leaves or has resigned."""
        self._heard_at = min(self._heard_at, now - SILENT_SECONDS)

    def take_stored(self, stored):
        """Take the object that names the promoter."""
        known = self.promoter
        if known is not None and stored.revision <= known.revision:
            return
        value = stored.value if isinstance(stored.value, dict) else {}
        holder = str(value.get("holder"))
        incarnation = str(value.get("incarnation"))
        self.promoter = Promoter(holder, incarnation, stored.revision)
        self._heard_at = self._loop.clock.now()
        event_log.event("promoter_changed", holder=holder, revision=stored.revision)
        self._check_tokens()

    def take_deletion(self):
        """Take note that the object has gone."""
        self.promoter = None

    def dump(self):
        """Return the state as plain values."""
        return {
            "promoter": None if self.promoter is None else self.promoter.name,
            "is_promoter": self.is_promoter,
            "tokens_given": 0 if self._tokens is None else self._tokens.given,
        }

    def _check_tokens(self):
        """Stop ordering when the store names another promoter."""
        promoter = self.promoter
        if self._tokens is None or promoter is None:
            return
        own = (self._own_name, self._incarnation)
        if (promoter.name, promoter.incarnation) == own:
            return
        if promoter.revision > self._tokens.revision:
            self._tokens = None
            event_log.event("promoter_lost", to=promoter.name)

    def _rank(self):
        """Return this proxy's place among those that may follow the promoter."""
        gone = None if self.promoter is None else self.promoter.name
        names = {name for name in self._member_names() if name != gone}
        names.add(self._own_name)
        seed = 0 if self.promoter is None else self.promoter.revision
        ordered = sorted(
            names, key=lambda name: xxhash.xxh3_64_intdigest(name.encode(), seed)
        )
        return ordered.index(self._own_name)

    def consider_claim(self, now):
        """Take the promoter's place when it has been silent for long enough."""
        if self._claiming or self.leaving or now < self._resigned_until:
            return
        promoter = self.promoter
        if promoter is None:
            wait = FIRST_RANK_SECONDS * self._rank()
        elif promoter.name == self._own_name:
            wait = 0.0
        else:
            wait = SILENT_SECONDS + RANK_SECONDS * self._rank()
        if now - self._heard_at >= wait:
            self._claiming = True
            self._loop.spawn(self._claim(promoter))

    def _claim(self, promoter):
        value = self._own_value()
        try:
            if promoter is None:
                stored = yield self._store.create(self._kind, PROMOTER_NAME, value)
            else:
                stored = yield self._store.replace(
                    self._kind, PROMOTER_NAME, value, promoter.revision
                )
            self._own_claim(stored)
        except errors.Conflict:
            yield from self._learn_promoter()
        except errors.CassiahillError as error:
            event_log.event("claim_failed", cause=error.detail)
            yield from self._learn_promoter()
        finally:
            self._claiming = False

    def _learn_promoter(self):
        """Read who the promoter is; an unanswered claim may have succeeded."""
        try:
            stored = yield self._store.get(self._kind, PROMOTER_NAME)
        except errors.CassiahillError as error:
            event_log.event("promoter_unknown", cause=error.detail)
            return
        if stored is None:
            return
        self.take_stored(stored)
        if stored.value == self._own_value():
            self._own_claim(stored)

    def _own_value(self):
        return {"holder": self._own_name, "incarnation": self._incarnation}

    def _confirm(self):
        deadline = self._loop.clock.now() + CONFIRM_SECONDS
        late = errors.PlatformUnavailable("no answer in time")
        try:
            stored = yield self._loop.with_deadline(
                self._store.get(self._kind, PROMOTER_NAME), deadline, late
            )
        except errors.CassiahillError as error:
            event_log.event("promoter_unconfirmed", cause=error.detail)
            return self.is_promoter
        if stored is not None:
            self.take_stored(stored)
        return self.is_promoter

    def _own_claim(self, stored):
        if self._tokens is None or stored.revision > self._tokens.revision:
            self._tokens = Tokens(stored.revision)
            event_log.event("promoter_gained", revision=stored.revision)
