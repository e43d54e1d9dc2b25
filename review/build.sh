#!/bin/sh
# Builds the stand-ins of the review: one file, the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/cases review/standin.rs
