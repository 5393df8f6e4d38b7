#!/usr/bin/env bash
cd "$(dirname "$0")" || exit 2
[ -f ../../target/roleMain.cjs ] || (cd ../.. && node scripts/bundle.mjs) || exit 2
exec node run.mjs
