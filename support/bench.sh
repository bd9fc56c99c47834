#!/usr/bin/env bash
# Runs the benchmarks, prints each figure as one line of JSON, and exits with a
# non-zero status when a figure is outside its bound or floor.
#
# Usage: support/bench.sh [CASE] [--report]
#   CASE      run only this bench (routing) or this case (balancer_churn)
#   --report  also write an HTML page that compares the figures with their
#             baselines and with the previous run
set -euo pipefail
cd "$(dirname "$0")/.."
RESULTS=build/bench

CASE=
REPORT=
for argument in "$@"; do
  case "$argument" in
    --report) REPORT=1 ;;
    -h | --help)
      sed -n '2,8s/^# \{0,1\}//p' "$0"
      exit 0
      ;;
    -*)
      echo "bench.sh: unknown option '$argument'; see --help" >&2
      exit 2
      ;;
    *)
      if [ -n "$CASE" ]; then
        echo "bench.sh: cases '$CASE' and '$argument' given; expected one" >&2
        exit 2
      fi
      CASE=$argument
      ;;
  esac
done

cmake --preset release >/dev/null
cmake --build --preset release >/dev/null
mkdir -p "$RESULTS"
PROGRAMS=()
for program in build/release/bench/bench_*; do
  if [ -f "$program" ] && [ -x "$program" ]; then
    PROGRAMS+=("$program")
  fi
done
ARGUMENTS=()
if [ -x "build/release/bench/bench_$CASE" ]; then
  PROGRAMS=("build/release/bench/bench_$CASE")
elif [ -n "$CASE" ]; then
  ARGUMENTS=("$CASE")
fi

# The benchmarks run one after another, so that they don't distort each other's
# speed ratios.
FAILED=()
: >"$RESULTS/running.jsonl"
for program in "${PROGRAMS[@]}"; do
  if ! "$program" "${ARGUMENTS[@]}" | tee -a "$RESULTS/running.jsonl"; then
    FAILED+=("$(basename "$program")")
  fi
done
if [ ! -s "$RESULTS/running.jsonl" ]; then
  echo "bench.sh: no bench or case is called '$CASE'" >&2
  exit 2
fi
if [ -f "$RESULTS/last.jsonl" ]; then
  mv "$RESULTS/last.jsonl" "$RESULTS/previous.jsonl"
fi
mv "$RESULTS/running.jsonl" "$RESULTS/last.jsonl"
if [ -n "$REPORT" ]; then
  python3 support/bench_report.py "$RESULTS/last.jsonl" \
    "$RESULTS/previous.jsonl" "$RESULTS/report.html"
  echo "bench.sh: report in $RESULTS/report.html" >&2
fi
if [ "${#FAILED[@]}" -gt 0 ]; then
  echo "bench.sh: failed: ${FAILED[*]}" >&2
  exit 1
fi
