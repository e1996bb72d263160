import subprocess
import sys
import textwrap


def run_python(source):
    command = [sys.executable, "-c", textwrap.dedent(source)]
    return subprocess.run(command, capture_output=True, text=True, timeout=60)


# Guards against a start that imports the client and server of aiohttp again, which all
# processes of a fleet pay for at once after a loss of power.
def test_entry_and_controller_start_without_unused_parts_of_packages():
    result = run_python(
        """
        import sys
        from toucanwood.utils import skip_package_init
        skip_package_init("aiohttp")
        skip_package_init("prometheus_client")
        from toucanwood.gateway import GatewayInstance
        assert "toucanwood.consensus" not in sys.modules
        from toucanwood.controller import ControllerInstance
        from toucanwood.metrics import MetricsRegistry
        unused = ("aiohttp.client", "aiohttp.connector", "prometheus_client.exposition")
        assert not [name for name in (*unused, "yaml") if name in sys.modules]
        assert b"toucanwood" in MetricsRegistry().render()
        """
    )
    assert result.returncode == 0, result.stderr


def test_missing_package_is_an_error():
    result = run_python(
        """
        from toucanwood.utils import skip_package_init
        skip_package_init("no_such_package")
        """
    )
    assert "ModuleNotFoundError: no package no_such_package" in result.stderr
