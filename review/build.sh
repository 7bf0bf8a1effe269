#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. The build of deploy/system.toml runs before it.
set -eu
cd "$(dirname "$0")/.."
npx --no-install tsc -p tsconfig.build.json
