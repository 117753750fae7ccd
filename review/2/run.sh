#!/usr/bin/env bash
# Runs the case as a script; see claim.txt and ../run-case.sh.
folder=$(dirname "$0")
exec bash "$folder/../run-case.sh" "$folder" evacuation
