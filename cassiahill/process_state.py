"""Interface through which the fleet asks and informs the rest of its process."""

import msgspec


class ProcessState:
    """Interface between ``SessionFleet`` and the rest of the process."""

    def versions(self):
        """Return the configuration's version and the ``Revision`` of the servers."""
        raise NotImplementedError

    def connected_groups(self):
        """Return the groups whose servers this process is connected to."""
        raise NotImplementedError

    def groups_without_primary(self):
        """Return the connected groups whose primary this process does not reach."""
        raise NotImplementedError

    def demand_by_group(self):
        """Return the average number of statements that wait or run, by group."""
        raise NotImplementedError

    def apply_total_demand(self, total_demand_by_group):
        """Apply the demand of all proxies to this process's share of the slots."""
        raise NotImplementedError

    def rate_report(self, promoter_name):
        """Return the ``RateReport`` for a promoter; unset without tenants."""
        return msgspec.UNSET

    def answer_rate_report(self, name, report, term):
        """Return the ``RateAnswer`` to a proxy's report; asked at the promoter.

        Parameters
        ----------
        name : str
        report : heartbeats.RateReport
        term : str
            Differs for each term of a promoter.
        """
        return msgspec.UNSET

    def apply_rate_answer(self, promoter_name, answer, asked_at):
        """Take over the promoter's answer; return whether to report again at once.

        Parameters
        ----------
        promoter_name : str
        answer : heartbeats.RateAnswer
        asked_at : float
            Instant at which the report was made.
        """
        return False

    def draining_seconds(self):
        """Return for how long servers are known to drain, by id."""
        return {}

    def record_draining(self, seconds_by_id):
        """Take over from a peer since when servers drain; see ``catalog.Catalog``."""

    def settled_groups(self):
        """Return the groups in which this process, the promoter, promotes no server.

        Returns
        -------
        dict of str to list of str
            Ids of the known servers by group.
        """
        return {}

    def record_settled_groups(self, server_ids_by_group, confirmed_at, heard_at):
        """Record a promoter's statement; see ``commit_witnesses.CommitWitnesses``.

        Parameters
        ----------
        server_ids_by_group : dict of str to list of str
        confirmed_at, heard_at : float
        """

    def groups_awaiting_confirmation(self):
        """Return the groups for which the promoter is to let the store confirm it."""
        return []

    def is_partitioned(self):
        """Return whether this process does not reach the other failure domains."""
        raise NotImplementedError

    def view(self, known):
        """Return the ``View`` of configuration and servers for a peer.

        Parameters
        ----------
        known : heartbeats.KnownVersions
            What the peer has already.
        """
        raise NotImplementedError

    def set_following(self, following):
        """Set whether a peer announces changes, so that the store is not watched."""
        raise NotImplementedError

    def set_watch_wait(self, seconds):
        """Set the longest wait of the watches of configuration and servers."""
        raise NotImplementedError

    def record_announcement(self, servers_revision):
        """Check the watch of the servers, because a peer may have newer ones."""
        raise NotImplementedError

    def request_lists(self):
        """Read configuration and servers in the store now."""
        raise NotImplementedError

    def read_configuration(self, version):
        """Read an announced version in the store; a task that returns its success."""
        raise NotImplementedError

    def verify_configuration(self):
        """Ask the store for a newer configuration; a task that returns its success."""
        raise NotImplementedError

    def is_store_unreachable(self):
        """Return whether the store does not answer this process."""
        raise NotImplementedError

    def reference_member(self):
        """Return the member to ask whether this failure domain is partitioned, or None.

        A process without connections to servers cannot detect a partition by itself.
        """
        raise NotImplementedError

    def apply_view(self, view, peer):
        """Take over what is newer in a peer's ``View``."""
        raise NotImplementedError

    def on_members_changed(self):
        """Handle a change of the registered members."""
        raise NotImplementedError
