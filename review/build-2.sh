#!/bin/sh
# Builds the stand-ins of the cases 4 to 8: Python programs that need the standard library,
# and those of case 6 also the project's own stand-ins and target/deps. Run it after the
# build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
python3 -m py_compile review/lab2/*.py review/[4-8]/*.py
PYTHONPATH="target/deps:." python3 -c \
  "import features.support.platform_worker, review.lab2.proxy, review.lab2.stage"
