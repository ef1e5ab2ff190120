#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 into target/review-3, the project's own that they use included.
set -e
cd "$(dirname "$0")/.."
for case in review/1[1-5]; do
  [ -f "$case/main.ts" ] || continue
  node_modules/.bin/esbuild "$case/main.ts" --bundle --platform=node --target=node20 --format=esm \
    --outfile="target/review-3/$(basename "$case").mjs" --log-level=warning
done
