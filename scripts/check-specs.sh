#!/usr/bin/env bash
# Checks each specification with Spin, which must find an error in each *-broken.pml variant.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../specs"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

passed=0
failed=0
for spec in *.pml; do
  [ -e "$spec" ] || continue
  name=${spec%.pml}
  dir=$work/$name
  mkdir "$dir"
  cp ./*.pml "$dir"
  (cd "$dir" && spin -a "$spec" >spin.log && gcc -O2 -DSAFETY -DVECTORSZ=4096 -o pan pan.c 2>gcc.log)
  (cd "$dir" && ./pan -m1000000 >pan.log) || true
  errors=$(grep -oE 'errors: [0-9]+' "$dir/pan.log" | grep -oE '[0-9]+')
  states=$(grep -oE '[0-9]+ states, stored' "$dir/pan.log" | grep -oE '^[0-9]+')
  if grep -q 'max search depth too small' "$dir/pan.log"; then
    verdict=incomplete
  elif [[ $name == *-broken ]]; then
    verdict=$([ "$errors" -gt 0 ] && echo ok || echo 'ACCEPTED A BROKEN VARIANT')
  else
    verdict=$([ "$errors" -eq 0 ] && echo ok || echo REJECTED)
  fi
  if [ "$verdict" = ok ]; then passed=$((passed + 1)); else failed=$((failed + 1)); fi
  echo "spec $name: $verdict ($states states, $errors errors)"
done
echo "specifications: $passed passed, $failed failed"
[ "$failed" -eq 0 ]
