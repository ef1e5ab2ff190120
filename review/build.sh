#!/usr/bin/env bash
# Builds every stand-in that the scripts start into target/review; no network is needed.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for main in review/[1-9]/main.ts; do
  number=$(basename "$(dirname "$main")")
  node_modules/.bin/esbuild "$main" --bundle --platform=node --target=node20 --format=esm \
    --outfile="target/review/$number.mjs" --log-level=warning
done
