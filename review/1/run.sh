#!/usr/bin/env bash
# TWICE: streams that may run once at most, while workers lose answers.
folder=$(cd "$(dirname "$0")" && pwd)
. "$folder/../run-case.sh"
run_case "$folder" lostanswer
