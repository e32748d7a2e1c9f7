"""Plug-in registry: modules register classes and functions by kind and name.

The kinds are ``backend``, ``objects``, ``routing``, ``admission``, ``report``,
``component`` (parts of the proxy process) and ``command``.
"""

import importlib
import pkgutil

from cassiahill import errors

_plugins_by_kind = {}  # Each value is a dictionary of the plug-ins by name.


def register(kind, name):
    """Return a decorator that registers a class or function as a plug-in.

    Parameters
    ----------
    kind : str
        What the plug-in extends, for example ``"backend"``.
    name : str
        Name of the plug-in in settings or on the command line, unique in its kind.
    """

    def decorate(plugin):
        plugins_by_name = _plugins_by_kind.setdefault(kind, {})
        if plugins_by_name.get(name, plugin) is not plugin:
            raise ValueError(f"plug-in {kind}/{name} is registered twice")
        plugins_by_name[name] = plugin
        return plugin

    return decorate


def load_all():
    """Import all modules of the package, which registers all its plug-ins."""
    package = importlib.import_module("cassiahill")
    for module in pkgutil.iter_modules(package.__path__):
        if module.name != "__main__":
            importlib.import_module(f"cassiahill.{module.name}")


def plugins(kind):
    """Return a dictionary of the plug-ins of one kind by name."""
    return dict(_plugins_by_kind.get(kind, {}))


def plugin(kind, name):
    """Return the plug-in with a kind and name.

    Raises
    ------
    errors.NotFound
        When no plug-in of that kind has the name.
    """
    found_plugin = _plugins_by_kind.get(kind, {}).get(name)
    if found_plugin is None:
        known_names = ", ".join(sorted(_plugins_by_kind.get(kind, {}))) or "none"
        raise errors.NotFound(f"no {kind} plug-in {name!r}; known: {known_names}")
    return found_plugin
