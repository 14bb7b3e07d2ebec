#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build command of the deploy file. Needs the JDK alone.
set -e
cd "$(dirname "$0")/standin-2"
rm -rf classes
javac -d classes ./*.java
