#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 without network access.
set -e
cd "$(dirname "$0")/standin-3"
mkdir -p ../../target
GOWORK=off GOFLAGS= GOPROXY=off go build -buildvcs=false -o ../../target/review-standin-3 .
