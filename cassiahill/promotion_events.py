"""Events and actions of ``cassiahill.promotion``."""

import attrs


@attrs.frozen
class Start:
    """Event: begin."""


@attrs.frozen
class Tick:
    """Event: the instant of the last ``Wait`` has come."""


@attrs.frozen
class ClaimAnswered:
    """Event: the platform granted or refused the claim of a term."""

    term: int
    granted: bool


@attrs.frozen
class TermRaised:
    """Event: a database raised its term; ``end`` is a ``backend.LogEnd``."""

    term: int
    end: object


@attrs.frozen
class Promoted:
    """Event: a database became the primary of a term."""

    term: int
    server: str


@attrs.frozen
class Followed:
    """Event: a database follows the primary of a term."""

    term: int
    server: str


@attrs.frozen
class CallFailed:
    """Event: a call had no answer, or was refused because of a higher term."""

    term: int
    server: str
    refused: bool


@attrs.frozen
class Observed:
    """Event: a status poll, which also stands in for lost answers."""

    status: object


@attrs.frozen
class OperatorApproved:
    """Event: an operator accepts that acknowledged writes may be dropped."""


@attrs.frozen
class ClaimInPlatform:
    """Action: claim a term by a conditional update."""

    term: int


@attrs.frozen
class RaiseTerm:
    """Action: call ``raise_term``."""

    server: str
    term: int


@attrs.frozen
class Promote:
    """Action: call ``promote``."""

    server: str
    term: int


@attrs.frozen
class Follow:
    """Action: call ``follow``."""

    server: str
    term: int
    primary: str


@attrs.frozen
class Publish:
    """Action: tell proxies and the platform about the new primary."""

    term: int
    primary: str


@attrs.frozen
class Wait:
    """Action: send ``Tick`` at an instant in seconds; replaces the earlier one."""

    until: float


@attrs.frozen
class Done:
    """Action: the promotion has ended with a primary."""

    term: int
    primary: str


@attrs.frozen
class Abandon:
    """Action: the promotion has ended because another one succeeded."""

    reason: str
