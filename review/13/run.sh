#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[[ -x target/yuccadrift-node && -x target/review/13/case ]] || { echo "build target/yuccadrift-node and run review/build-3.sh first"; exit 2; }
timeout -k 2 115 target/review/13/case --record review/13/record.txt
status=$?
[[ $status -le 2 ]] || status=2
exit $status
