#!/usr/bin/env bash
# LOST: streams that a stopping instance takes and can't end.
folder=$(cd "$(dirname "$0")" && pwd)
. "$folder/../run-case.sh"
run_case "$folder" rolling
