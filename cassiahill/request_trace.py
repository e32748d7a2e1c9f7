"""Finds the story of one request in the log lines of several processes."""

import attrs
import msgspec

# Lines about what a process believes, which tell why a request was treated as it was.
BELIEFS = frozenset(
    {
        "configuration_installed",
        "connected",
        "connection_failed",
        "connection_refused",
        "cut_off",
        "lines_dropped",
        "owner_failed",
        "primary_changed",
        "promote_ordered",
        "promoter_changed",
        "promoter_gained",
        "promoter_lost",
        "server_changed",
        "server_entry_gone",
        "server_removed",
        "started",
        "stop_begins",
        "stopped",
        "store_lost",
        "store_regained",
        "takeover",
        "takeover_needless",
        "takeover_unsafe",
        "takeover_waits",
    }
)


@attrs.frozen
class LogLine:
    """One line of a log.

    Attributes
    ----------
    order : int
        Place in the files as they were given.
    node : str
    at : float
        Instant of the node's own clock, in seconds; only compared within a node.
    event : str
    fields : dict
    """

    order: int
    node: str
    at: float
    event: str
    fields: dict

    def __str__(self):
        fields = " ".join(f"{key}={value}" for key, value in self.fields.items())
        return f"{self.at:.3f} {self.node} {self.event} {fields}"


def parse(text, order):
    """Return the ``LogLine`` in a text, or None for a cut or foreign line.

    Whatever a collector has put before the line is ignored.
    """
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = msgspec.json.decode(text[start:])
    except msgspec.DecodeError:
        return None
    if not isinstance(fields, dict) or not isinstance(fields.get("event"), str):
        return None
    at = fields.pop("at", 0.0)
    if isinstance(at, bool) or not isinstance(at, int | float):
        return None
    node = str(fields.pop("node", ""))
    return LogLine(order, node, float(at), fields.pop("event"), fields)


def trace_request(texts, request_id, around):
    """Return the lines of a request and what its processes believed at the time.

    Parameters
    ----------
    texts : iterable of str
        Lines of one or more logs.
    request_id : str
    around : float
        Seconds before the request's first line, and after its last, for which changes
        of belief of the same processes are included.

    Returns
    -------
    list of LogLine
        By process, in the order of its clock.
    """
    lines = [parse(text, order) for order, text in enumerate(texts)]
    lines = [line for line in lines if line is not None]
    own = [line for line in lines if line.fields.get("request") == request_id]
    spans_by_node = {}
    for line in own:
        first, last = spans_by_node.get(line.node, (line.at, line.at))
        spans_by_node[line.node] = (min(first, line.at), max(last, line.at))

    def is_near(line):
        if line.event not in BELIEFS or line.node not in spans_by_node:
            return False
        first, last = spans_by_node[line.node]
        return first - around <= line.at <= last + around

    found = own + [line for line in lines if is_near(line)]
    return sorted(found, key=lambda line: (line.node, line.at, line.order))
