#!/bin/sh
# Runs the case of this folder: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: the same
# without the disruption. Before it: the build of the deploy file, and review/build.sh.
cd "$(dirname "$0")" || exit 2
case=$(basename "$PWD")
root=$(cd ../.. && pwd) || exit 2
stand=$root/target/review/stand
[ -x "$stand" ] || { echo "review/build.sh is to be run first" >&2; exit 2; }
[ -x "$root/target/release/micadyke" ] || { echo "the deploy file's build is to be run first" >&2; exit 2; }
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$root/deploy/balancer.toml")
[ -n "$run" ] || exit 2
dir=$(mktemp -d) || exit 2
clean() {
  [ -n "${pid:-}" ] && kill "$pid" 2>/dev/null
  for node in "$dir"/node-*.pid; do [ -f "$node" ] && kill -9 "$(cat "$node")" 2>/dev/null; done
  [ -n "${KEEP_LOG:-}" ] && cp "$dir/node.log" node.log
  rm -rf "$dir"
}
trap clean EXIT
trap 'exit 2' INT TERM
timeout 110 "$stand" "$case" --root "$root" --dir "$dir" --record "$PWD/record.txt" --run "$run" &
pid=$!
wait "$pid"
code=$?
pid=
case $code in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
