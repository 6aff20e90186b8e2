#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
number=$(basename "$here")
[ -x target/bramleybankd ] && [ -x "target/review/case-$number" ] || exit 2
exec "target/review/case-$number" "$here/record.txt"
