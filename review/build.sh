#!/bin/sh
# Builds the stand-ins of the cases into review/bin/. Their sources are named
# .cc and .hh: the lint of CI takes every .cpp and .h file of the repository, and
# the cases are not part of CI. They are formatted by the project's style.
set -e
cd "$(dirname "$0")"
mkdir -p bin
for folder in [0-9]; do
  if [ -f "$folder/case.cc" ]; then
    ${CXX:-g++} -std=c++20 -O1 -Wall -Wextra -pthread -Icommon \
      -o "bin/case$folder" "$folder/case.cc"
  fi
done
