"""The ``egretmill`` command line tool for operators."""
