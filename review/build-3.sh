#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 11 to 15 start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/driver-3 ./review/driver-3
