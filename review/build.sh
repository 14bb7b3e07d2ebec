#!/bin/sh
# Builds the stand-ins of the review's cases, with the JDK alone.
set -e
cd "$(dirname "$0")"
rm -rf standin/classes
mkdir -p standin/classes
javac -d standin/classes standin/*.java
