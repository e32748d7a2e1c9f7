"""Properties of a request that decide about its admission."""

import collections

# A named tuple, because one is created for each request and an attrs class costs more.
RequestContext = collections.namedtuple("RequestContext", "rank caller deadline")
