"""Registry of plug-ins that register themselves by kind and name.

The kinds are ``backend``, ``objects``, ``routing``, ``admission``, ``report``,
``component`` (parts of the daemon) and ``command``.
"""

import importlib
import pkgutil

from cassiahill import errors

_plugins_by_kind = {}


def register(kind, name):
    """Return a decorator that registers a class or function as a plug-in.

    Parameters
    ----------
    kind : str
        What the plug-in extends, for example ``"backend"``.
    name : str
        Name that settings or the command line use for it.
    """

    def decorate(plugin):
        plugins_by_name = _plugins_by_kind.setdefault(kind, {})
        if plugins_by_name.get(name, plugin) is not plugin:
            raise ValueError(f"plug-in {kind}/{name} is registered twice")
        plugins_by_name[name] = plugin
        return plugin

    return decorate


def load_all():
    """Import every module of the package, so that all plug-ins are registered."""
    package = importlib.import_module("cassiahill")
    for module in pkgutil.iter_modules(package.__path__):
        if module.name != "__main__":
            importlib.import_module(f"cassiahill.{module.name}")


def plugins(kind):
    """Return the plug-ins of one kind by name."""
    return dict(_plugins_by_kind.get(kind, {}))


def plugin(kind, name):
    """Return one plug-in.

    Raises
    ------
    errors.NotFound
        When no plug-in of that kind has the name.
    """
    found = _plugins_by_kind.get(kind, {}).get(name)
    if found is None:
        known = ", ".join(sorted(_plugins_by_kind.get(kind, {}))) or "none"
        raise errors.NotFound(f"no {kind} plug-in {name!r}; known: {known}")
    return found
