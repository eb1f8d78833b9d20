#!/usr/bin/env bash
# Builds the stand-ins and the driver of the scripts, with the libraries that the module has.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-stand ./review/stand
