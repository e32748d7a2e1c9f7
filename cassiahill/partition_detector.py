"""Whether this process is partitioned from the other failure domains."""

from cassiahill import event_log, reachability


class PartitionDetector:
    """Combines what the groups and the fleet know of the other failure domains.

    Parameters
    ----------
    own_domain : str
        Failure domain of this process.
    regions : regions.Regions

    Attributes
    ----------
    partitioned : bool
    """

    def __init__(self, own_domain, regions):
        self._own_domain = own_domain
        self._regions = regions
        self._since = None
        self.partitioned = False

    def update(self, groups, fleet, now):
        """Check the contacts again, and tell the groups when the result changes.

        Parameters
        ----------
        groups : collection of server_group.ServerGroup
        fleet : session_fleet.SessionFleet
        now : float
        """
        contacts = [
            contact
            for group in groups
            if group.active
            for contact in group.servers.contacts(now)
        ]
        if contacts:
            relevant_contacts = reachability.relevant_contacts(
                self._own_domain,
                contacts,
                fleet.peer_contacts.contacts(),
                self._regions,
            )
            self._since = reachability.partitioned_since(
                self._since, self._own_domain, relevant_contacts, now
            )
            partitioned = self._since is not None
        else:
            self._since = None
            partitioned = fleet.peers_indicate_partition(now)
        if partitioned != self.partitioned:
            self.partitioned = partitioned
            event_log.event("cut_off" if partitioned else "connected")
            for group in groups:
                # Servers that did not answer during the partition may answer now.
                group.replies.reset_failure_detection()
                group.partitioned = partitioned
