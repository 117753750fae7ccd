#!/usr/bin/env bash
# Checks that each program that a clean build runs beside Go's own, each header
# and object of the C library that it reads, and the certificates belong to a
# Debian package listed under `packages` in deploy/system.toml, or to one that a
# listed package depends on.
set -euo pipefail
cd "$(dirname "$0")/.."

listed=$(sed -n 's/^packages = \[\(.*\)\]$/\1/p' deploy/system.toml | tr -d '",')
if [ -z "$listed" ]; then
    echo "deploy/system.toml lists no packages"
    exit 1
fi
if ! command -v dpkg-query >/dev/null; then
    echo "packages: not checked, this machine has no dpkg"
    exit 0
fi

# closure prints packages with all that they depend on, as far as installed.
closure() {
    local known=" " queue="$*" package
    while [ -n "$queue" ]; do
        local next=""
        for package in $queue; do
            [[ "$known" == *" $package "* ]] && continue
            known+="$package "
            next+=" $(dpkg-query -W -f='${Depends}\n' "$package" 2>/dev/null | tr ',|' '\n\n' | sed 's/(.*)//; s/:any//; s/ //g' | tr '\n' ' ')"
        done
        queue=$(echo $next)
    done
    echo $known
}
covered=" $(closure $listed) "

# owner prints the package that a file belongs to.
owner() {
    local file
    for file in "$1" "$(readlink -f "$1")" "$(readlink -f "$1" | sed 's,^/usr,,')"; do
        if dpkg -S "$file" 2>/dev/null | head -1 | cut -d: -f1 | grep .; then
            return
        fi
    done
    true
}

short=0
check() {
    local package
    package=$(owner "$1")
    if [ -z "$package" ] || [[ "$covered" != *" $package "* ]]; then
        echo "packages: $1 belongs to ${package:-no package}, which deploy/system.toml does not list"
        short=1
    fi
}

check "$(command -v gcc)"
for program in cc1 collect2 as ld; do
    path=$(gcc -print-prog-name="$program")
    check "$(command -v "$path")"
done
for object in crt1.o libc.so libpthread.a libgcc.a; do
    check "$(gcc -print-file-name="$object")"
done
for header in $(printf '#include <pthread.h>\n#include <netdb.h>\n#include <pwd.h>\n#include <sys/types.h>\n' | gcc -M -x c - | tr ' \\' '\n\n' | grep '^/'); do
    check "$header"
done
[ -e /etc/ssl/certs/ca-certificates.crt ] && check /usr/sbin/update-ca-certificates
exit $short
