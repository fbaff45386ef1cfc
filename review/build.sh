#!/usr/bin/env bash
# Builds the stand-ins and clients of the review's scripts, after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
for main in review/[0-9]*/main.go; do
  number=$(basename "$(dirname "$main")")
  go build -o "target/review/case$number" "./review/$number"
done
