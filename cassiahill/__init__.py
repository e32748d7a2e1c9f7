"""Database proxy with session consistency for replicated databases."""

__version__ = "0.1.0"
