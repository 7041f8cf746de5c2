#!/usr/bin/env bash
# Builds the programs and runs the two example deployments on this machine, with
# 27 and 24 real nodes, a simulated platform, simulated backend servers and real
# traffic. In each deployment one backend server turns gray (fails partly).
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p .bin
go build -o .bin/cassiarack-node ./node
go build -o .bin/cassiarack ./operator
go build -o .bin/cassiarack-standin ./standin
exec .bin/cassiarack-standin demo "$@"
