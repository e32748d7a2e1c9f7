"""Which writes may be sent while open transactions hold locks."""

MAX_DEFERRED_WRITES = 256  # writes that wait while an open transaction holds locks


class WritePermits:
    """Keeps one slot of a backend server free of writes that wait for locks.

    Requests that wait for the locks of an open transaction hold their slots. With a
    free slot, the transaction can go on and release its locks. Requests that cannot
    wait for locks need no permit.

    Parameters
    ----------
    slots : int
        Statements that the server executes concurrently.
    """

    def __init__(self, slots):
        self._max_permits = max(1, slots - 1)
        self._permitted_ids = set()
        self._deferred_by_id = {}

    @property
    def deferred_ids(self):
        """Ids of the requests that wait for a permit, oldest first."""
        return list(self._deferred_by_id)

    def acquire(self, request, open_transactions):
        """Return whether a request may be sent now although it may wait for locks.

        Parameters
        ----------
        request : backend_requests.BackendRequest
        open_transactions : iterable of backend_requests.BackendTransaction
        """
        if (
            request.read_only
            or request.ends_transaction
            or request.request_id in self._permitted_ids
        ):
            return True
        if request.transaction is not None and request.transaction.holds_locks:
            return True
        if len(self._permitted_ids) >= self._max_permits and any(
            transaction.holds_locks for transaction in open_transactions
        ):
            return False
        self._permitted_ids.add(request.request_id)
        return True

    def release(self, request_id):
        """Give a permit back; return whether the request had one."""
        had_permit = request_id in self._permitted_ids
        self._permitted_ids.discard(request_id)
        return had_permit

    def defer(self, request):
        """Let a request wait for a permit; return False when too many wait."""
        if len(self._deferred_by_id) >= MAX_DEFERRED_WRITES:
            return False
        self._deferred_by_id[request.request_id] = request
        return True

    def take_deferred(self):
        """Remove and return the waiting request of the highest rank, or None."""
        if not self._deferred_by_id:
            return None
        request = min(
            self._deferred_by_id.values(),
            key=lambda deferred: (deferred.rank, deferred.request_id),
        )
        del self._deferred_by_id[request.request_id]
        return request

    def drop_deferred(self, request_id):
        """Let a request that has ended wait no longer."""
        self._deferred_by_id.pop(request_id, None)
