"""Serves one request of a caller: route, run, acknowledge, answer."""

import attrs

from cassiahill import backend, errors, messages, tokens

RETRY_PAUSE = 0.02  # seconds between attempts that did not run


@attrs.frozen
class Work:
    """What admission needs to know of a statement."""

    rank: messages.Rank
    caller: str
    deadline: float


class Dispatcher:
    """Serves callers' statements.

    Parameters
    ----------
    loop : loop.EventLoop
    signer : tokens.TokenSigner
    monitors_by_group : dict of str to poller.GroupMonitor
    gateway : gateway.DirectGateway
    """

    def __init__(self, loop, signer, monitors_by_group, gateway):
        self._loop = loop
        self._signer = signer
        self._monitors_by_group = monitors_by_group
        self._gateway = gateway

    def statement(self, request):
        """Return the future of the answer to a ``messages.StatementRequest``."""
        return self._loop.spawn(self._statement(request))

    def _statement(self, request):
        monitor = self._monitor(request.group)
        token = self._signer.decode(request.session, request.caller)
        work = Work(request.rank, request.caller, request.deadline)
        if request.kind == "write":
            server, result = yield from self._write(monitor, request, work)
            age = None
        else:
            mark = token.marks_by_group.get(request.group, tokens.Mark(0, 0))
            server, result, age = yield from self._read(monitor, request, work, mark)
        mark = tokens.Mark(result.term, result.position)
        token = token.advanced(request.group, mark)
        first = result.results[0]
        return messages.Answer(
            columns=first.columns,
            rows=first.rows,
            row_count=first.row_count,
            server=server,
            term=result.term,
            position=result.position,
            session=self._signer.encode(token),
            age=age,
        )

    def _monitor(self, group):
        monitor = self._monitors_by_group.get(group)
        if monitor is None:
            raise errors.UnknownGroup(f"group {group!r} is not configured")
        return monitor

    def _write(self, monitor, request, work):
        while True:
            server = yield from self._primary(monitor, request.deadline)
            try:
                result = yield self._gateway.submit(
                    server, work, self._batch(monitor, request, read_only=False)
                )
                break
            except (errors.StaleTerm, errors.BackendUnavailable):
                yield from self._pause(request.deadline)
        yield monitor.confirm(server, result.term, result.position, request.deadline)
        return server, result

    def _read(self, monitor, request, work, mark):
        while True:
            server, age = yield from self._choose(monitor, request, mark)
            try:
                result = yield self._gateway.submit(
                    server, work, self._batch(monitor, request, read_only=True)
                )
            except (errors.StaleTerm, errors.BackendUnavailable):
                yield from self._pause(request.deadline)
                continue
            if tokens.Mark(result.term, result.position) >= mark:
                return server, result, age
            yield from self._pause(request.deadline)

    def _choose(self, monitor, request, mark):
        view = monitor.view
        while True:
            now = self._loop.clock.now()
            for server in sorted(view.servers, key=lambda name: name == view.primary):
                if view.contains(server, mark).name != "YES":
                    continue
                age = view.age(server, now)
                if _is_fresh(request.freshness, age):
                    return server, age
            if now >= request.deadline:
                raise errors.NotFresh("no backend server is fresh enough")
            yield monitor.changed(request.deadline)

    def _primary(self, monitor, deadline):
        while not monitor.view.primary:
            if self._loop.clock.now() >= deadline:
                raise errors.NoPrimary("no primary is known")
            yield monitor.changed(deadline)
        return monitor.view.primary

    def _batch(self, monitor, request, read_only):
        return backend.Batch(
            statements=(request.statement,),
            term=monitor.view.term,
            read_only=read_only,
            timeout=max(0.001, request.deadline - self._loop.clock.now()),
        )

    def _pause(self, deadline):
        now = self._loop.clock.now()
        if now + RETRY_PAUSE >= deadline:
            raise errors.DeadlinePassed("the deadline passed between attempts")
        yield self._loop.sleep_until(now + RETRY_PAUSE)


def _is_fresh(wanted, age):
    match wanted:
        case messages.MaxAge(seconds=seconds):
            return age <= seconds
        case _:
            return True
