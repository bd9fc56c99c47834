#!/usr/bin/env bash
# Runs the soak with a planted fault and checks that it fails and names exactly
# the rule that the fault breaks; with "none", that no rule is broken.
#   soak/check_plant.sh PROGRAM PLANT
set -euo pipefail
PROGRAM=$1
PLANT=$2
RULE=${PLANT%%-*}
SECONDS_OF_FAULTS=25
CODE=0
case "$RULE" in
  # RECOVER is judged at the end of the soak, the others end it.
  RECOVER | none) SECONDS_OF_FAULTS=3 ;;
esac
ARGUMENTS=(--seed 1 --seconds "$SECONDS_OF_FAULTS" --plant "$PLANT")
if [ "$PLANT" = none ]; then
  ARGUMENTS=(--seed 1 --seconds 8 --plant none --zones 2 --route-changes)
fi
REPORT=$("$PROGRAM" "${ARGUMENTS[@]}") || CODE=$?
echo "$REPORT"
if [ "$PLANT" = none ]; then
  exit "$CODE"
fi
if [ "$CODE" != 1 ]; then
  echo "check_plant.sh: $PLANT: exit code $CODE, 1 expected" >&2
  exit 1
fi
if ! grep -qx "  rules broken: $RULE" <<<"$REPORT"; then
  echo "check_plant.sh: $PLANT: $RULE alone expected" >&2
  exit 1
fi
