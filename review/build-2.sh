#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts, the project's own among them. The build
# line of deploy/system.toml comes first.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-second ./review/second
