#!/usr/bin/env bash
# Plays the standard days of deployments on the users' platform and compares what they are worth
# with the figures of the last landing.
#
# Usage: tools/regress.sh PROGRAM SITE...
#
# PROGRAM is the users' program that plays days, SITE a deployment's file; `make regress` passes
# PLAY and SITES. Exits with 1 if a deployment fails its gate or is worth less, in the mean of its
# days with trouble, by more than single plays differ.
set -euo pipefail

figures="$(dirname "$0")/../docs/contributors/figures.txt"
# Days differ by 0.02 to 0.03 from play to play, the mean of five by less.
tolerance=0.03

if [ $# -lt 2 ]; then
  sed -n 's/^# Usage: /usage: /p' "$0" >&2
  exit 2
fi
program=$1
shift

log=$(mktemp)
trap 'rm -f "$log"' EXIT
failed=0
for site in "$@"; do
  name=$(basename "$site" .toml)
  echo "== $name"
  "$program" score "$site" --why "regression run" | tee "$log"
  if ! grep -q '^GATE passed' "$log"; then
    echo "$name: gate failed"
    failed=1
  fi
  awk -v name="$name" -v tolerance="$tolerance" '
    FNR == NR { if ($1 == name) before[$2] = $3; next }
    $1 in before {
      printf "%s %s: %.3f, before %.3f\n", name, $1, $4, before[$1]
      if ($1 !~ /^quiet/) { now += $4; was += before[$1]; days++ }
    }
    END {
      if (days == 0) { print name ": no figures to compare with"; exit }
      printf "%s mean of %d days with trouble: %.3f, before %.3f\n", name, days, now / days, was / days
      exit (was - now) / days > tolerance
    }' "$figures" "$log" || { echo "$name: worth less than before"; failed=1; }
done
exit "$failed"
