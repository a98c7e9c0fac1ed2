#!/bin/sh
# Builds the stand-ins of the cases into review/bin/.
set -e
cd "$(dirname "$0")"
mkdir -p bin
for folder in [0-9]; do
  if [ -f "$folder/case.cpp" ]; then
    ${CXX:-g++} -std=c++20 -O1 -Wall -Wextra -pthread -Icommon \
      -o "bin/case$folder" "$folder/case.cpp"
  fi
done
