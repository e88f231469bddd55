#!/usr/bin/env bash
# Builds the stand-in that the scripts start, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/standin"
go build -o ../../target/review-standin .
