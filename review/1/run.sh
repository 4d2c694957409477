#!/usr/bin/env bash
# TWICE: streams that may run once at most, while workers lose answers.
folder=$(cd "$(dirname "$0")" && pwd)
. "$folder/../run-case.sh"
# TROUBLE=0 runs the same without the disruption.
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
run_case "$folder" lostanswer "$trouble"
