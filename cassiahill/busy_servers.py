"""Pauses for servers that refuse statements because they are busy; does no I/O.

The decision is meant for overload: without a pause, many proxies would keep a server
busy with refusals.
"""

import attrs

# A busy server has answered some statements after this pause. It doubles with each
# consecutive refusal.
BASE_PAUSE_SECONDS = 0.02
MAX_PAUSE_DOUBLINGS = 3
STREAK_RESET_SECONDS = 0.5


@attrs.frozen
class Pause:
    """Pause after the newest of some consecutive refusals.

    Attributes
    ----------
    until : float
    refusal_count : int
        Number of refusals in a row before this one.
    """

    until: float
    refusal_count: int


class BusyServers:
    """The servers of a group that get no requests for a moment.

    Parameters
    ----------
    rng : random.Random
        Spreads the ends of the pauses of several proxies.
    """

    def __init__(self, rng):
        self._rng = rng
        self._pauses_by_id = {}

    def is_paused(self, server_id, now):
        """Return whether a server should get no requests now."""
        pause = self._pauses_by_id.get(server_id)
        return pause is not None and now < pause.until

    def record_refusal(self, server_id, now):
        """Record that a server was busy; a refusal during a pause does not count."""
        if self.is_paused(server_id, now):
            return
        previous = self._pauses_by_id.get(server_id)
        refusal_count = 0
        if previous is not None and now - previous.until < STREAK_RESET_SECONDS:
            refusal_count = previous.refusal_count + 1
        pause_seconds = BASE_PAUSE_SECONDS * 2 ** min(
            refusal_count, MAX_PAUSE_DOUBLINGS
        )
        jitter_factor = 0.5 + self._rng.random()
        self._pauses_by_id[server_id] = Pause(
            now + pause_seconds * jitter_factor, refusal_count
        )
