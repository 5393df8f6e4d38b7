#!/bin/sh
# The cases 4 and up start the bundled program and stand-ins in review/lib-2, which need no build. Checks that both are there.
cd "$(dirname "$0")/.." || exit 2
test -f target/roleMain.cjs && test -f review/lib-2/runCase.mjs
