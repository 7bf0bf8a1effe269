#!/bin/sh
# Sets up what is missing, then runs the embedded default in the foreground.
set -eu
cd "$(dirname "$0")/.."
sh scripts/setup.sh >&2
exec node --enable-source-maps dist/bench/quickstart/main.js "$@"
