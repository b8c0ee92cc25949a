#!/bin/sh
# Runs the case: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption. What was sent, answered and run goes to record.txt here.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/gatewayd ] || [ ! -x target/review-2/kit2 ]; then
  echo "run the build of the deploy file and review/build-2.sh first"
  exit 2
fi
timeout -k 5 115 target/review-2/kit2 split review/10/record.txt
code=$?
[ $code -le 2 ] || code=2
exit $code
