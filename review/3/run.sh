#!/bin/sh
cd "$(dirname "$0")/../.." && exec python3 -m review.3.check
