"""Prints the preprocessed text of a source file, from which check-lint.bash computes a cache key.

usage: preprocess.py BUILD_FOLDER SOURCE
BUILD_FOLDER holds compile_commands.json.
"""
import json
import os
import shlex
import subprocess
import sys

build_dir, source = sys.argv[1], os.path.abspath(sys.argv[2])
with open(os.path.join(build_dir, "compile_commands.json"), encoding="utf-8") as database:
    entries = [e for e in json.load(database) if os.path.abspath(e["file"]) == source]
if not entries:
    sys.exit(f"{source} is not in {build_dir}/compile_commands.json")
command = shlex.split(entries[0]["command"])
compiler_index = next(i for i, word in enumerate(command)
                      if word.endswith(("c++", "g++", "clang++")))
compiler_command = command[compiler_index:]
arguments, skip_next = [], False
for word in compiler_command:
    if skip_next:
        skip_next = False
    elif word == "-o":
        skip_next = True
    elif word != "-c":
        arguments.append(word)
preprocessed = subprocess.run(arguments + ["-E", "-P"], cwd=entries[0]["directory"], check=True,
                              capture_output=True).stdout
sys.stdout.buffer.write(preprocessed)
