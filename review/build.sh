#!/usr/bin/env bash
# Builds the program that plays the cases' clients, endpoints and platform. It uses the standard
# library alone. The build of the deploy file comes before it.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/rig review/rig/main.rs
