#!/usr/bin/env bash
# ORDER, not one of the five cases: workers that start again under their ids with a newer
# version while the store is away. It writes its record to the folder of the stand-in.
. "$(dirname "$0")/run-case.sh"
# TROUBLE=0 runs the same without the disruption.
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
run_case "$(cd "$(dirname "$0")" && pwd)/samename" samename "$trouble"
