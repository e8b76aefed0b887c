#!/bin/sh
# Plays the case; TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
exec python3 -B play.py
