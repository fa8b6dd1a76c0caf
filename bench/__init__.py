"""Measurements; ``make bench`` runs them."""
