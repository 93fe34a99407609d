"""Runs one whole-program case: testsuite/NAME/case.py against a small mesh on loopback.

A case defines `run(mesh, checks)` and calls `checks.expect(condition, description)` for each check.
It may name another deployment of testsuite/common than "small" in DEPLOYMENT.
Exit 0 when every check passed, 1 when one failed or none ran.
"""
import argparse
import importlib.util
import pathlib
import shutil
import sys
import traceback

TESTSUITE_DIR = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(TESTSUITE_DIR / "common"))
import mesh as mesh_lib  # noqa: E402
import ports  # noqa: E402


class CaseChecks:
    """Counts and prints the passed and failed checks of a case."""

    def __init__(self):
        self.passed = self.failed = 0

    def expect(self, condition, description):
        if condition:
            self.passed += 1
            print(f"check passed: {description}", flush=True)
        else:
            self.failed += 1
            print(f"check failed: {description}", flush=True)

    def expect_clean_history(self, mesh):
        """Runs `camphorload check` over the collected records and expects no violation."""
        exit_code, report = mesh.check_history()
        self.expect(exit_code == 0,
                    f"history checker: exit {exit_code} {report.get('violations', '')}")


def load_case(name):
    spec = importlib.util.spec_from_file_location(name, TESTSUITE_DIR / name / "case.py")
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("case")
    parser.add_argument("--build", required=True)
    parser.add_argument("--out", required=True)
    options = parser.parse_args()
    case = load_case(options.case)
    checks = CaseChecks()
    shutil.rmtree(options.out, ignore_errors=True)
    mesh_lib.exit_on_sigterm()
    deployment = TESTSUITE_DIR / "common" / getattr(case, "DEPLOYMENT", "small")
    with mesh_lib.Mesh(options.build, deployment, options.out, ports.reserve_block()[0]) as mesh:
        try:
            case.run(mesh, checks)
            checks.expect(not mesh.failed_processes(),
                          f"no process failed on its own {mesh.failed_processes()}")
        except (RuntimeError, TimeoutError, OSError):
            traceback.print_exc(file=sys.stdout)
            checks.expect(False, "the case ran to its end without an exception")
        unclean_exits = mesh.stop_all()
        checks.expect(not unclean_exits, f"every process stopped cleanly {unclean_exits}")
    print(f"checks passed: {checks.passed}, checks failed: {checks.failed}")
    return 0 if checks.failed == 0 and checks.passed > 0 else 1


if __name__ == "__main__":
    sys.exit(main())
