"""What the store and the other proxies know of a group, asked for a promotion.

A promoter may have started, or missed a change, after a replica acknowledged commits.
Each acknowledgement that a client got has passed a proxy, though, and the store lists
the servers that are registered now.
"""

from cassiahill import errors, event_log, heartbeats
from cassiahill.loop import completed_future

# The store and reachable proxies answer in milliseconds; the group waits meanwhile.
EVIDENCE_TIMEOUT_SECONDS = 0.25


class PromotionEvidence:
    """Interface to what others know; this one has nobody to ask."""

    def update_servers(self):
        """Apply the store's present list of servers to the group.

        Returns
        -------
        loop.LoopFuture
            Future of whether the store has answered.
        """
        return completed_future(True)

    def announce_promotion(self, group, successor):
        """Tell the other proxies which server is about to be promoted.

        From their answers on they tell clients only of commits that it has received.

        Parameters
        ----------
        group : str
        successor : str or None
            None if no promotion is about to take effect any more.

        Returns
        -------
        loop.LoopFuture
            Future of a list of ``positions.LogPosition``: for each proxy that has
            answered, the newest commit of the group that it has seen acknowledged
            before.
        """
        return completed_future([])


class FleetEvidence(PromotionEvidence):
    """Asks the shared store and the proxies that are connected to a group.

    Parameters
    ----------
    loop : loop.EventLoop
    catalog_feed : catalog_feed.CatalogFeed
    fleet : session_fleet.SessionFleet
    owner_names : callable
        Returns the names of the proxies that own a group.
    """

    def __init__(self, loop, catalog_feed, fleet, owner_names):
        self._loop = loop
        self._catalog_feed = catalog_feed
        self._fleet = fleet
        self._owner_names = owner_names

    def update_servers(self):
        """Return the future of whether the list of servers is up to date."""
        deadline = self._loop.clock.now() + EVIDENCE_TIMEOUT_SECONDS
        return self._loop.spawn(self._catalog_feed.update_servers(deadline))

    def announce_promotion(self, group, successor):
        """Return the future of the newest commits that other proxies have seen."""
        notice = heartbeats.PromotionNotice(group, successor)
        return self._loop.spawn(self._tell_proxies(group, notice))

    def _tell_proxies(self, group, notice):
        deadline = self._loop.clock.now() + EVIDENCE_TIMEOUT_SECONDS
        names = self._fleet.reports.watchers_of(group) | self._owner_names(group)
        members = self._fleet.other_members(names)
        futures = [
            self._loop.spawn(self._tell_proxy(member, notice, deadline))
            for member in members
        ]
        positions = []
        for future in futures:
            positions.append((yield future))
        return [position for position in positions if position is not None]

    def _tell_proxy(self, member, notice, deadline):
        try:
            return (yield from self._fleet.announce_promotion(member, notice, deadline))
        except errors.CassiahillError as error:
            event_log.event(
                "promotion_unannounced",
                group=notice.group,
                peer=member.name,
                cause=error.detail,
            )
            return None
