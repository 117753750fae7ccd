#!/usr/bin/env bash
# Plays days of a site on the users' bench with each mechanism of balance.off
# switched off in turn, and prints the worth of each run beside that with all on.
# ablation.sh BENCH SITE "DAY ..." "SEED ..." [MECHANISM ...]
# Each variant is played in a clone of its own, one run at a time; the runs' journal
# entries stay in the clones' journal folders, to be copied and committed.
set -euo pipefail
bench=$(realpath "${1:?the bench}")
site=$(realpath "${2:?a site file}")
days=${3:?days}
seeds=${4:?seeds}
shift 4
root=$(git rev-parse --show-toplevel)
folder=$(mktemp -d)
mechanisms=${*:-affinity read-again isolation crossing hung doubts ejection suspects suspect-probes second-attempts}

play() {
    local name=$1 flag=$2
    git clone -q "$root" "$folder/$name"
    cd "$folder/$name"
    if [ -n "$flag" ]; then
        sed -i "s|platform front\"|platform front --balance.off=$flag\"|" deploy/system.toml
        git -c user.name=ablation -c user.email=ablation@localhost commit -qam "Switch off $flag"
    fi
    for day in $days; do
        for seed in $seeds; do
            worth=$("$bench" run "$site" "$day" --seed "$seed" --jobs 1 --why "ablation: $name" | sed -n 's/^worth \([0-9.]*\).*/\1/p')
            printf '%s\t%s\t%s\t%s\n' "$name" "$day" "$seed" "${worth:-none}"
        done
    done
    cd "$root"
}

play all ""
for mechanism in $mechanisms; do
    play "without-$mechanism" "$mechanism"
done
echo "runs are kept in $folder"
