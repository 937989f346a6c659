#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10. The programs themselves are built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
go build -buildvcs=false -o bin/review-rig ./review/rig
