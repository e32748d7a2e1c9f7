"""A deliberately broken ``configuration.apply``: the last writer wins."""

from cassiahill import configuration


def apply(store, update, deadline, clock_source=None):
    """Store an update unconditionally, so that it can replace a concurrent one."""
    current = configuration.read(store, deadline)
    proposed = configuration.next_configuration(
        current, update.document, update.by, update.at_ms, update.update_id
    )
    value = configuration.encode(proposed)
    store.put(
        configuration.OBJECT_KIND, configuration.OBJECT_NAME, value, None, deadline
    )
    return proposed
