#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They have no dependencies beside the standard library.
set -euo pipefail
cd "$(dirname "$0")/standins"
mkdir -p ../../target
go build -o ../../target/review-standins .
