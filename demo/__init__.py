"""The demo fleet; ``make demo`` runs it."""
