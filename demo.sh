#!/usr/bin/env bash
# Builds the programs and runs both deployments of the brief on this machine:
# 27 and 24 real nodes, stand-in platform and backend servers, real traffic, and
# one backend server that turns gray.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p .bin
go build -o .bin/cassiarack-node ./node
go build -o .bin/cassiarack ./operator
go build -o .bin/cassiarack-standin ./standin
exec .bin/cassiarack-standin demo "$@"
