#!/usr/bin/env python3
"""Partitions sources into groups that can each be compiled as one unit.

Usage: unit_groups.py MOST UNIT...

Prints one line per group: its units, of which there are at most MOST. Units whose
anonymous namespaces declare the same name are put in different groups.
"""
import pathlib
import re
import sys

NAME = re.compile(
    r"^(?:(?:struct|class|enum class|using) (\w+)"
    r"|(?:.* |  )?([ks][A-Z]\w*)(?:\{| = | =$|\[|;|$)"
    r"|(\w+)\()"
)


def private_names(unit):
    """Returns the names that a unit declares in anonymous namespaces, and main if it defines it."""
    names = set()
    inside = False
    for line in pathlib.Path(unit).read_text().splitlines():
        if line == "namespace {":
            inside = True
        elif line == "} // namespace":
            inside = False
        elif line.startswith("main("):
            names.add("main")
        elif inside:
            found = NAME.match(line)
            if found:
                names.add(next(name for name in found.groups() if name))
    return names


def groups(units, most):
    made = []
    for unit in units:
        names = private_names(unit)
        for group in made:
            if len(group["units"]) < most and not names & group["names"]:
                break
        else:
            group = {"units": [], "names": set()}
            made.append(group)
        group["units"].append(unit)
        group["names"] |= names
    return [group["units"] for group in made]


if __name__ == "__main__":
    for group in groups(sys.argv[2:], int(sys.argv[1])):
        print(*group)
