"""A configuration store that is wrong on purpose: the last writer wins."""

from cassiahill import configuration


def apply(store, update, deadline, clock_source=None):
    """Apply an update without comparing the version that it replaces."""
    current = configuration.read(store, deadline)
    wanted = configuration.next_configuration(
        current, update.document, update.by, update.at_ms, update.update_id
    )
    value = configuration.encode(wanted)
    store.put(configuration.KIND, configuration.NAME, value, None, deadline)
    return wanted
