#!/usr/bin/env bash
# Builds the program that runs the scripts of cases 6 to 10, with all stand-ins that they use.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
go build -tags review2 -o target/review-2 ./review/driver-2
