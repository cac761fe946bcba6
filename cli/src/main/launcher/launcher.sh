#!/bin/sh
exec java -XX:+UseSerialGC -jar "$0" "$@"
