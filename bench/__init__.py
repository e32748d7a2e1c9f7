"""Experiments and the demo."""
