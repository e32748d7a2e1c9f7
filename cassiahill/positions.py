"""Positions in the log of a group of backend servers."""

import attrs


@attrs.frozen(order=True)
class LogPosition:
    """Position in a group's log; positions of a later term compare greater.

    Attributes
    ----------
    term : int
        Term of the primary that wrote the entry; grows with each promotion.
    number : int
        Number of the commit, which continues across terms.
    """

    term: int
    number: int

    def __str__(self):
        return f"{self.term}.{self.number}"
