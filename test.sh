#!/usr/bin/env bash
# Installs the pinned tools into .bin, runs the build line of the deploy file, and
# runs the formatter, vet, the linter, the check of generated code and all tests.
set -euo pipefail
cd "$(dirname "$0")"
modules=(lib platform sidecar node operator standin)

step() { printf '== %s\n' "$*"; }

step tools
mkdir -p .bin
(cd tools && GOWORK=off go build -o ../.bin/ tool)
export PATH="$PWD/.bin:$PATH"

step 'build line of the deploy file'
bash -c "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)"

step formatter
unformatted=$(gofmt -l "${modules[@]}")
if [ -n "$unformatted" ]; then
  printf 'not formatted:\n%s\n' "$unformatted"
  exit 1
fi

step 'generated code'
(cd lib/wire && buf lint && buf generate)
if ! git diff --exit-code --stat -- lib/wire; then
  echo 'generated code is not current: run buf generate in lib/wire'
  exit 1
fi

for m in "${modules[@]}"; do
  step "vet and linter: $m"
  (cd "$m" && go vet ./... && golangci-lint run ./...)
done

# The tests in KNOWN-RED.txt fail because of open faults. They run after the
# others and their output is printed, but their failure does not fail this script.
# Each entry starts with "test: NAME".
known=$(sed -n "s/^test: //p" KNOWN-RED.txt 2>/dev/null | paste -sd"|" - || true)
for m in "${modules[@]}"; do
  step "tests: $m"
  (cd "$m" && go test -race -count=1 -timeout 9m ${known:+-skip "^($known)\$"} ./...)
done
if [ -n "$known" ]; then
  for m in "${modules[@]}"; do
    step "known red: $m ($known)"
    (cd "$m" && go test -race -timeout 5m -run "^($known)\$" ./...) || true
  done
fi
