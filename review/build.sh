#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into review/bin. They use only the
# standard library and need no module.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOWORK=off go build -o ../bin/standin ./*.go
