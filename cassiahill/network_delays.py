"""Network delay to a server: by its distance, or as measured; does no I/O.

All traffic between two regions shares one narrow link. When the link is full, a queue
builds before it and the round trips across grow. Fewer reads then cross it, because the
measured delay is part of what a read is expected to take.
"""

import attrs

from cassiahill.regions import Distance

CROSS_DOMAIN_SECONDS = 0.002  # Extra round-trip time to another failure domain.
# Round-trip time to another region until one has been measured.
CROSS_REGION_SECONDS = 0.02
# Weight of the newest round trip. A server is probed a few times a second, so a queue
# is noticed after about a second.
ROUND_TRIP_WEIGHT = 0.3
# Weight with which the usual round trip follows a longer one. It takes minutes, so that
# a queue on the link does not soon become usual.
USUAL_RISE_WEIGHT = 0.003


@attrs.define
class RoundTrip:
    """Measured round-trip time to one server.

    Attributes
    ----------
    seconds : float or None
        Moving average; None before the first measurement.
    usual_seconds : float
        Lowest value of the last minutes, without a queue on the way.
    """

    seconds: float | None = None
    usual_seconds: float = 0.0

    @property
    def queue_seconds(self):
        """Part of the round trip that is not usual: the wait for a full link."""
        return (
            0.0 if self.seconds is None else max(0.0, self.seconds - self.usual_seconds)
        )

    def record(self, seconds):
        """Record one round trip, or the timeout of one that was not answered."""
        if self.seconds is None:
            self.seconds = self.usual_seconds = seconds
            return
        self.seconds += ROUND_TRIP_WEIGHT * (seconds - self.seconds)
        if seconds < self.usual_seconds:
            self.usual_seconds = seconds
        else:
            self.usual_seconds += USUAL_RISE_WEIGHT * (seconds - self.usual_seconds)


@attrs.frozen
class Crossings:
    """Traffic from this process to the servers in other regions.

    Attributes
    ----------
    statement_count : int
        Statements and probes for which a connection across was used.
    round_trip_seconds : float
        Longest round trip to one of the servers now; 0 without any.
    queue_seconds : float
        Longest part of a round trip that is not usual.
    """

    statement_count: int
    round_trip_seconds: float
    queue_seconds: float


def network_seconds(distance, measured_seconds=None):
    """Return the extra round-trip time to a server.

    Parameters
    ----------
    distance : regions.Distance
    measured_seconds : float or None
        Measured round trip. It counts for another region only: inside a region it tells
        more of the server's load than of the network.

    Returns
    -------
    float
    """
    match distance:
        case Distance.OWN_DOMAIN:
            return 0.0
        case Distance.OWN_REGION:
            return CROSS_DOMAIN_SECONDS
        case Distance.OTHER_REGION:
            return (
                CROSS_REGION_SECONDS if measured_seconds is None else measured_seconds
            )
