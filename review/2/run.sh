#!/usr/bin/env bash
# ORDER: streams that are resumed at an instance that is cut off.
folder=$(cd "$(dirname "$0")" && pwd)
. "$folder/../run-case.sh"
# TROUBLE=0 runs the same without the disruption.
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
run_case "$folder" cutoff "$trouble"
