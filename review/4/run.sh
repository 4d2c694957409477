#!/usr/bin/env bash
# LOST: streams that a stopping instance takes and can't end.
folder=$(cd "$(dirname "$0")" && pwd)
. "$folder/../run-case.sh"
# TROUBLE=0 runs the same without the disruption.
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
run_case "$folder" rolling "$trouble"
