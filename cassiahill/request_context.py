"""Rank, caller and deadline of a request, as admission needs them."""

import collections

# A named tuple, because one is made for each statement and attrs classes cost more.
RequestContext = collections.namedtuple("RequestContext", "rank caller deadline")
