"""Start a gateway whose time of day is ``CLOCK_BEHIND_S`` seconds behind."""

import os
import pathlib
import runpy
import sys
import time

START = pathlib.Path(__file__).resolve().parents[2] / "platform" / "start.py"

behind_s = float(os.environ.get("CLOCK_BEHIND_S", "0"))
true_time = time.time
time.time = lambda: true_time() - behind_s
sys.path.insert(0, str(START.parent))
runpy.run_path(str(START), run_name="__main__")
