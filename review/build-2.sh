#!/bin/sh
# Builds the stand-ins of the cases 4 to 8. They are Python programs that need no more than
# the packages under target/deps, so this checks that they can be loaded. Run it at the
# root, after the build of deploy/system.toml.
cd "$(dirname "$0")/.." || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="target/deps:." exec python3 -c \
  "import features.support.platform_worker, review.lab2.proxy, review.lab2.stage"
