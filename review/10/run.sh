#!/usr/bin/env bash
# Exits with 1 if the rule of claim.txt was broken, with 0 if it held, and with 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. What was sent, answered and run goes to record.txt.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x bin/shalebeam ] || [ ! -x bin/review-rig ]; then
  echo "build first: the command of deploy/balancer.toml, then review/build-2.sh"
  exit 2
fi
exec bin/review-rig reload review/10/record.txt
