#!/bin/sh
# A server in trouble whose answers do not end.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Needs the build of the deploy file and review/build-2.sh.
set -u
cd "$(dirname "$0")/../.."
exec target/review-2/rig-2 endless target/release/apricotlug review/9/record.txt "${TROUBLE:-1}"
