#!/usr/bin/env bash
# ORDER: streams that are resumed at an instance that is cut off.
folder=$(cd "$(dirname "$0")" && pwd)
. "$folder/../run-case.sh"
run_case "$folder" cutoff
