"""Exit codes and messages of the command-line tools, without a mesh.

Exit 0 when every row of CASES passed, 1 when one failed.
"""
import argparse
import pathlib
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parents[2]
# No process listens on this port.
UNREACHABLE_NODE = "127.0.0.1:1"

SERVICE = '{"kind":"service","name":"s","spec":{"release":"r1"}}'
UPSTREAM = '{"kind":"upstream","name":"s-r1","spec":{"service":"s","release":"r1","slots":1}}'
SETTINGS = ('{"mesh":"m","node":"a","zone":"z","region":"r","listen":{"host":"127.0.0.1",'
            '"call_port":1,"peer_port":2,"admin_port":3},"platform":{"host":"127.0.0.1","port":4}}')
FILES = {
    "service.json": SERVICE,
    "lines.json": SERVICE + "\n" + UPSTREAM + "\n",
    "dangling.json": UPSTREAM,
    "broken.json": '{"kind":',
    "wrong_unit.json": '{"kind":"route","name":"r","spec":{"path_prefix":"/","service":"s",'
                       '"timeout_s":2}}',
    "settings.json": SETTINGS,
    "bad_settings.json": SETTINGS.replace('"call_port":1', '"call_port":3'),
}

# (program, arguments, expected exit code, expected part of stdout or stderr)
CASES = [
    ("camphorlint", ["--help"], 0, "Exit codes"),
    ("camphorlint", ["--version"], 0, "camphorlint"),
    ("camphorlint", [], 64, "name files"),
    ("camphorlint", ["--kind", "routes", "service.json"], 64, "--kind"),
    ("camphorlint", ["--nonsense"], 64, "nonsense"),
    ("camphorlint", ["service.json"], 0, ""),
    ("camphorlint", ["lines.json"], 0, ""),
    ("camphorlint", ["dangling.json"], 2, 'dangling.json: /spec/service: no service named "s"'),
    ("camphorlint", ["dangling.json", "service.json"], 0, ""),
    ("camphorlint", ["broken.json"], 2, "broken.json: /: not JSON"),
    ("camphorlint", ["wrong_unit.json"], 2,
     'wrong_unit.json: /spec/timeout_s: unknown key; "timeout_ms" is known'),
    ("camphorlint", ["absent.json"], 2, "absent.json: /: cannot be read"),
    ("camphorlint", ["--kind", "settings", "settings.json"], 0, ""),
    ("camphorlint", ["--kind", "settings", "bad_settings.json"], 2,
     "bad_settings.json: /listen/admin_port: is the same as call_port"),
    ("camphorlint", [ROOT / "examples/bluebonnet/resources.json"], 0, ""),
    ("camphorlint", [ROOT / "examples/volta/resources.json"], 0, ""),
    ("camphorctl", ["--help"], 0, "Exit codes"),
    ("camphorctl", ["--version"], 0, "camphorctl"),
    ("camphorctl", ["version"], 0, "camphorctl"),
    ("camphorctl", [], 2, "name a command"),
    ("camphorctl", ["frobnicate"], 2, "no such command"),
    ("camphorctl", ["get", "crews"], 2, "is no kind"),
    ("camphorctl", ["describe", "service"], 2, "name a service"),
    ("camphorctl", ["apply"], 2, "name files"),
    ("camphorctl", ["apply", "-f", "wrong_unit.json"], 2, "/spec/timeout_s"),
    ("camphorctl", ["wait", "move", "m", "--for", "luck"], 2, "--for is"),
    ("camphorctl", ["get", "services", "--node", "gate:1"], 2, "is not IP-ADDRESS:PORT"),
    ("camphorctl", ["get", "services", "--node", UNREACHABLE_NODE], 5, "refused"),
    ("camphorctl", ["apply", "-f", "service.json", "--node", UNREACHABLE_NODE, "--timeout", "0.1"],
     5, "service/s"),
]


def run_program(program, arguments, folder):
    completed = subprocess.run([program, *map(str, arguments)], cwd=folder, capture_output=True,
                          text=True, timeout=30)
    return completed.returncode, completed.stdout + completed.stderr


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", required=True)
    bin_folder = pathlib.Path(parser.parse_args().build).resolve() / "bin"
    failed = 0
    with tempfile.TemporaryDirectory() as folder:
        for name, text in FILES.items():
            pathlib.Path(folder, name).write_text(text)
        for program, arguments, expected_code, expected_text in CASES:
            code, output = run_program(bin_folder / program, arguments, folder)
            if code != expected_code or expected_text not in output:
                failed += 1
                print(f"check failed: {program} {arguments}: exit {code}, expected "
                      f"{expected_code} and {expected_text!r} in:\n{output}")
    print(f"checks passed: {len(CASES) - failed}, checks failed: {failed}")
    return 0 if failed == 0 else 1


if __name__ == "__main__":
    sys.exit(main())
