#!/usr/bin/env bash
# Plays the case; TROUBLE=0 plays it without the clock step.
cd "$(dirname "$0")" && exec python3 -B case.py
