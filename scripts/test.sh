#!/usr/bin/env bash
# Runs the formatters, the linters and every test under the race detector, those in virtual time also without it.
# Tests that KNOWN-RED.txt lists are printed and skipped; every other test runs. The demo of README.md runs once.
set -euo pipefail
cd "$(dirname "$0")/.."

tool() { go tool -modfile=tools/go.mod "$@"; }
fail() { echo "FAIL: $*" >&2; exit 1; }

# Prints the pattern for -skip that matches exactly the tests of a file, each of which has a line such as
# "test: TestName" or "test: TestName/name of the subtest".
skip_pattern() {
  [ -f "$1" ] || return 0
  sed -n 's/^test: *//p' "$1" | sed -e 's/ *$//; s/ /_/g; s/[][\.*^$+?(){}|]/\\&/g' -e 's|/|$/^|g; s/.*/^&$/' | paste -sd'|' -
}

echo "== format"
mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.go')
unformatted=$(tool gofumpt -l "${files[@]}")
[ -z "$unformatted" ] || fail "gofumpt: $unformatted"
unsorted=$(tool goimports -local github.com/figreel/figreel -l "${files[@]}")
[ -z "$unsorted" ] || fail "goimports: $unsorted"

echo "== lint"
go vet ./...
tool staticcheck ./...
tool revive -config revive.toml -set_exit_status ./...

echo "== demo"
# Its folder is kept if it fails.
demo_dir=$(mktemp -d)
TMPDIR=$demo_dir go run ./cmd/demo
rm -r "$demo_dir"

echo "== test"
skip=$(skip_pattern KNOWN-RED.txt)
args=(-count=1 -timeout=900s)
if [ -n "$skip" ]; then
  echo "known red, passed over:"
  sed -n 's/^test: /  /p' KNOWN-RED.txt
  args+=(-skip "$skip")
fi
# The race detector of Go 1.26 aborts if goroutines of one synctest bubble run expired timers on several processors at
# once. So packages with bubbles are tested on one processor with it, and on all processors without it.
mapfile -t bubbles < <(git ls-files --cached --others --exclude-standard '*_test.go' |
  xargs grep -l '"testing/synctest"' | xargs -n1 dirname | sort -u | sed 's|^|./|' | xargs go list)
mapfile -t others < <(go list ./... | grep -vxF -f <(printf '%s\n' "${bubbles[@]}"))
go test "${args[@]}" -race "${others[@]}"
go test "${args[@]}" "${bubbles[@]}"
go test "${args[@]}" -race -cpu 1 "${bubbles[@]}"
