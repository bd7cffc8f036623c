#!/bin/sh
# Exit code: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
for program in target/release/micadyke target/review-2/world; do
  if [ ! -x "$root/$program" ]; then
    echo "$program is missing: build by deploy/balancer.toml, then by review/build-2.sh" >&2
    exit 2
  fi
done
exec "$root/target/review-2/world" seat "$folder"
