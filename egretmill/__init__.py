"""egretmill: global traffic steering for small organisations."""

__version__ = '0.1.0'

__all__ = ('__version__',)
