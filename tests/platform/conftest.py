"""Puts the adapter on the path, as its start program does."""

import pathlib
import sys

sys.path.append(str(pathlib.Path(__file__).parents[2] / 'platform'))
