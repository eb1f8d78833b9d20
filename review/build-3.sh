#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 into target/. It is run after the build line of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
go build -o target/stand3 ./review/stand3
