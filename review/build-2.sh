#!/usr/bin/env bash
# Builds the stand-ins of the second review: review/standin-2/standin2.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
go build -o standin2 .
