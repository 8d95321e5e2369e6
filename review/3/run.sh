#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0: without the disruption. TROUBLE=restart, TROUBLE=cut: with one half of it.
folder=$(cd "$(dirname "$0")" && pwd)
source "$folder/../standin/play.sh"
play restart-then-cut "$folder"
