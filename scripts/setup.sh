#!/bin/sh
# Installs the locked packages when missing and builds the programs.
set -eu
cd "$(dirname "$0")/.."
if [ ! -d node_modules/.bin ]; then
  npm ci
fi
npm run --silent build
