#!/usr/bin/env bash
# Builds the stand-ins and consumers of the cases 6 to 10 into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
for number in 6 7 8 9 10; do
  [ -f "review/$number/case.ts" ] || continue
  node_modules/.bin/esbuild "review/$number/case.ts" --bundle --platform=node --target=node20 \
    --format=cjs "--outfile=target/review-2/case-$number.cjs" --log-level=warning
done
