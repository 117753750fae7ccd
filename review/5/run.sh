#!/bin/sh
# Case 5: see claim.txt. Exit: 1 broken, 0 held, 2 could not run.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
[ -x "$root/target/stepwick" ] && [ -x "$root/target/review-5-driver" ] || exit 2
exec "$root/target/review-5-driver" "$root" "$here/record.txt"
