#!/bin/sh
# Starts the example fleet in the foreground: 3 control hosts, 6 entry hosts and one database group
# of 3 stand-in instances, each process with its own TOML file. SIGINT or SIGTERM ends all of it.
# It begins anew each time, because the stand-ins keep nothing.
set -eu
cd "$(dirname "$0")/.."
sh scripts/setup.sh >&2

rm -rf .fleet
mkdir -p .fleet/logs

pids=""
stop() {
  trap - INT TERM
  for pid in $pids; do
    kill -TERM "$pid" 2>/dev/null || true
  done
  wait
  exit 0
}
trap stop INT TERM

start() {
  log=".fleet/logs/$1.log"
  shift
  node --enable-source-maps "$@" >>"$log" 2>&1 &
  pids="$pids $!"
}

for n in 1 2 3; do
  start "control-$n" dist/src/daemon/main.js "examples/fleet/control-$n.toml" --found
done
for n in 1 2 3 4 5 6; do
  start "entry-$n" dist/src/daemon/main.js "examples/fleet/entry-$n.toml"
done
for name in a b c; do
  start "ledger-1-$name" dist/standin/main.js "examples/standin/ledger-1-$name.toml"
done
echo "fleet of 12 processes starting; operators at http://127.0.0.11:7480, callers at 127.0.0.11:6432; logs in .fleet/logs"
wait
