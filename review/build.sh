#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. The project itself is built as the deploy file says.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/standin"
mkdir -p ../../target
GOWORK=off go build -o ../../target/review-standin .
