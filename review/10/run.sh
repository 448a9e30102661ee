#!/usr/bin/env bash
cd "$(dirname "$0")" && exec timeout -k 5 115 python3 case.py
