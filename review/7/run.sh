#!/bin/sh
# Plays the case beside it; see claim.txt. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="target/deps:." exec python3 review/7/play.py
