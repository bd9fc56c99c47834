#!/usr/bin/env bash
# Runs the soak, which injects faults by seed into real processes: either
# consecutive seeds for some minutes, or the seeds kept in soak/seeds.txt, or
# planted faults that the judge must name.
#   support/soak.sh --seed 1 --minutes 5
#   support/soak.sh --kept
#   support/soak.sh --plants
set -euo pipefail
cd "$(dirname "$0")/.."
PROGRAM=build/release/soak/soak
SEED=1
MINUTES=0
KEPT=0
PLANTS=0
while [ $# -gt 0 ]; do
  case "$1" in
    --seed) SEED=$2; shift 2 ;;
    --minutes) MINUTES=$2; shift 2 ;;
    --kept) KEPT=1; shift ;;
    --plants) PLANTS=1; shift ;;
    *) echo "soak.sh: unknown option $1" >&2; exit 2 ;;
  esac
done
cmake --preset release >/dev/null
cmake --build --preset release --target soak >/dev/null

if [ "$PLANTS" = 1 ]; then
  exec ctest --test-dir build/release --output-on-failure -L plants -j 4
fi
failed=0
if [ "$KEPT" = 1 ]; then
  while read -r seed seconds _; do
    "$PROGRAM" --seed "$seed" --seconds "$seconds" || failed=1
  done < <(grep -v '^#' soak/seeds.txt)
  exit "$failed"
fi
END=$((SECONDS + MINUTES * 60))
while :; do
  "$PROGRAM" --seed "$SEED" || failed=1
  SEED=$((SEED + 1))
  [ "$SECONDS" -lt "$END" ] || break
done
exit "$failed"
