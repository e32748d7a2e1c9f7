"""Finds the log lines that explain what happened to one request."""

import attrs
import msgspec

# Events that change the state of a process and may explain how it handled a request.
STATE_EVENTS = frozenset(
    {
        "configuration_installed",
        "connected",
        "connection_failed",
        "connection_refused",
        "cut_off",
        "lines_dropped",
        "loop_delayed",
        "members_not_registered_again",
        "owner_failed",
        "primary_changed",
        "primary_stepped_down",
        "promote_ordered",
        "promotion_took_effect",
        "promoter_changed",
        "promoter_gained",
        "promoter_lost",
        "promoter_missing",
        "server_changed",
        "server_entry_gone",
        "replicas_not_paused",
        "replicas_paused_again",
        "replicas_resumed",
        "server_removed",
        "started",
        "stop_begins",
        "stopped",
        "store_era_changed",
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
    """A log line of a process, parsed from JSON.

    Attributes
    ----------
    order : int
        Index of the line in the input.
    node : str
        Name of the process.
    at : float
        Instant in seconds of the process's clock; comparable only within a process.
    event : str
        Name of the event.
    fields : dict
        The other fields.
    """

    order: int
    node: str
    at: float
    event: str
    fields: dict

    def __str__(self):
        fields = " ".join(f"{key}={value}" for key, value in self.fields.items())
        return f"{self.at:.3f} {self.node} {self.event} {fields}"


def parse_line(text, order):
    """Return the ``LogLine`` in a text, or None for a truncated or other line.

    A prefix that a log collector has added is ignored.
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


def trace_request(raw_lines, request_id, margin_seconds):
    """Return the lines about a request and the state changes of its processes.

    Parameters
    ----------
    raw_lines : iterable of str
        Lines of one or more logs.
    request_id : str
    margin_seconds : float
        Seconds before the first and after the last line of the request in a process;
        its state changes within them are included.

    Returns
    -------
    list of LogLine
        Sorted by process and then by time.
    """
    lines = [parse_line(text, order) for order, text in enumerate(raw_lines)]
    lines = [line for line in lines if line is not None]
    request_lines = [line for line in lines if line.fields.get("request") == request_id]
    spans_by_node = {}
    for line in request_lines:
        first, last = spans_by_node.get(line.node, (line.at, line.at))
        spans_by_node[line.node] = (min(first, line.at), max(last, line.at))

    def is_near_request(line):
        if line.event not in STATE_EVENTS or line.node not in spans_by_node:
            return False
        first, last = spans_by_node[line.node]
        return first - margin_seconds <= line.at <= last + margin_seconds

    selected_lines = request_lines + [line for line in lines if is_near_request(line)]
    return sorted(selected_lines, key=lambda line: (line.node, line.at, line.order))
