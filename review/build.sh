#!/bin/sh
# Builds the stand-in that the scripts start. Run it after the build of the deploy
# file, deploy/system.toml.
cd "$(dirname "$0")/.." || exit 2
go build -o target/review-standin ./review/standin
