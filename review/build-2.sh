#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/4 to review/6 start, beside
# the program of the deploy file, in target/.
set -eu
cd "$(dirname "$0")/.."
make -j8 B=target target/si_pstore target/si_pserver target/si_pcaller
