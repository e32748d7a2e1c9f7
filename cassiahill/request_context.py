"""What admission needs to know of a statement."""

import collections

# A named tuple, because one is made for each statement and attrs classes cost more.
RequestContext = collections.namedtuple("RequestContext", "rank caller deadline")
