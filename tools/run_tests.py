"""Run the test modules in parallel and print a summary.

Failures of the tests listed in KNOWN-RED.txt are printed apart and do not change the
exit status.
"""

import concurrent.futures
import os
import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
# The folder has the name of a standard library module, so its tests are run from inside
# it and their names do not include it.
ADAPTER_ROOT = ROOT / "platform"
KNOWN_RED_FILE = ROOT / "KNOWN-RED.txt"
MAX_PARALLEL_MODULES = 4
# Test modules that start many processes run one at a time: on a machine with 6 cores,
# several fleets at once did not start within the timeouts of the tests.
FLEET_MODULE_PREFIXES = ("examples.tests.", "soak.tests.")
# Timeout of one module. limits.tests.test_faults uses 126 s of processor time and took
# over 240 s on 6 cores with a load of 14.
MODULE_TIMEOUT_S = 900
# Modules that run for minutes are started first.
SLOW_MODULES = ("toucanwood.limits.tests.test_faults",)


def find_modules() -> list[str]:
    """Return the dotted names of all test modules."""
    paths = sorted(ROOT.glob("*/tests/test_*.py")) + sorted(
        ROOT.glob("toucanwood/*/tests/test_*.py")
    )
    adapter_paths = sorted(ADAPTER_ROOT.glob("*/tests/test_*.py"))
    return [_get_module_name(path, ROOT) for path in paths] + [
        _get_module_name(path, ADAPTER_ROOT) for path in adapter_paths
    ]


def _get_module_name(path: pathlib.Path, folder: pathlib.Path) -> str:
    return ".".join(path.relative_to(folder).with_suffix("").parts)


def read_known_failures() -> set[str]:
    """Return the dotted names of the tests listed in KNOWN-RED.txt."""
    if not KNOWN_RED_FILE.exists():
        return set()
    return set(re.findall(r"^test: (\S+)", KNOWN_RED_FILE.read_text(), re.MULTILINE))


def run_module(name: str) -> tuple[str, str, int]:
    """Run one test module and return its name, output and exit status."""
    try:
        process = _run_nose2(name)
    except subprocess.TimeoutExpired as error:
        return name, f"{error}", 1
    return name, process.stdout + process.stderr, process.returncode


def _run_nose2(name: str) -> "subprocess.CompletedProcess[str]":
    folder = ADAPTER_ROOT if name.startswith("adapter.") else ROOT
    return subprocess.run(
        [sys.executable, "-m", "nose2", "-v", name],
        cwd=folder,
        env={**os.environ, "PYTHONPATH": str(ROOT)},
        capture_output=True,
        text=True,
        timeout=MODULE_TIMEOUT_S,
    )


def read_results(output: str) -> dict[str, bool]:
    """Return whether each test passed, by its dotted name."""
    results = {}
    failure_pattern = r"^(?:ERROR|FAIL): (\S+)"
    for test in re.findall(r"^([\w.:]+)(?: \([\w.]+\))? \.\.\. ", output, re.M):
        results[test.split(":")[0]] = True
    for test in re.findall(failure_pattern, output, re.MULTILINE):
        results[test.split(":")[0]] = False
    return results


def main() -> int:
    """Run all modules; return 1 if any test not listed in KNOWN-RED.txt failed."""
    known_failures = read_known_failures()
    failures = []
    expected_failures = []
    passed = 0
    with (
        concurrent.futures.ThreadPoolExecutor(1) as fleet_pool,
        concurrent.futures.ThreadPoolExecutor(MAX_PARALLEL_MODULES) as module_pool,
    ):
        module_runs = [
            (
                fleet_pool if name.startswith(FLEET_MODULE_PREFIXES) else module_pool
            ).submit(run_module, name)
            for name in sorted(
                find_modules(), key=lambda item: item not in SLOW_MODULES
            )
        ]
        for module_run in concurrent.futures.as_completed(module_runs):
            name, output, status = module_run.result()
            results = read_results(output)
            failed = [test for test, ok in results.items() if not ok]
            unexpected_failures = [
                test for test in failed if test not in known_failures
            ]
            expected_failures += [test for test in failed if test in known_failures]
            passed += sum(results.values())
            failed_without_test = status != 0 and not failed
            if unexpected_failures or failed_without_test or not results:
                failures += unexpected_failures or [name]
                print(f"---- {name}\n{output}")
            print(f"{name}: {len(results)} tests, {len(failed)} failed")
    for test in expected_failures:
        print(f"known red: {test}")
    for test in failures:
        print(f"failed: {test}")
    print(f"{passed} passed, {len(failures)} failed, {len(expected_failures)} skipped")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
