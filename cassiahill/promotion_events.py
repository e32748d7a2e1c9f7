"""Events that ``promotion.Promotion.step`` takes, and actions that it returns.

The names of these classes and of their fields appear in the state for operators.
"""

import attrs


@attrs.frozen
class Start:
    """Event: the promotion starts."""


@attrs.frozen
class Tick:
    """Event: the instant of the last ``Wait`` is reached."""


@attrs.frozen
class ClaimAnswered:
    """Event: the platform granted or refused the claim of a term."""

    term: int
    granted: bool


@attrs.frozen
class TermRaised:
    """Event: a server raised its term; ``end`` is its ``backend.LogEnd``."""

    term: int
    end: object


@attrs.frozen
class Promoted:
    """Event: a server became the primary of a term."""

    term: int
    server: str


@attrs.frozen
class Followed:
    """Event: a server follows the primary of a term."""

    term: int
    server: str


@attrs.frozen
class CallFailed:
    """Event: a call to a server failed.

    ``refused`` is true when the server refused the call because of a higher term, and
    false when the server did not answer.
    """

    term: int
    server: str
    refused: bool


@attrs.frozen
class Observed:
    """Event: the answer of a status poll, a ``freshness.ServerStatus``.

    The status also shows the effect of a call whose answer was lost.
    """

    status: object


@attrs.frozen
class OperatorApproved:
    """Event: an operator accepts that the promotion may drop acknowledged writes."""


@attrs.frozen
class ClaimInPlatform:
    """Action: claim a term by a conditional update in the platform."""

    term: int


@attrs.frozen
class RaiseTerm:
    """Action: order a server to raise its term."""

    server: str
    term: int


@attrs.frozen
class Promote:
    """Action: order a server to become the primary of a term."""

    server: str
    term: int


@attrs.frozen
class Follow:
    """Action: order a server to replicate from the primary of a term."""

    server: str
    term: int
    primary: str


@attrs.frozen
class Publish:
    """Action: announce the new primary to the other proxies and the platform."""

    term: int
    primary: str


@attrs.frozen
class Wait:
    """Action: send ``Tick`` at ``until``, in seconds; replaces the earlier ``Wait``."""

    until: float


@attrs.frozen
class Done:
    """Action: the promotion has ended with a primary."""

    term: int
    primary: str


@attrs.frozen
class Abandon:
    """Action: the promotion has ended because another promotion succeeded."""

    reason: str
