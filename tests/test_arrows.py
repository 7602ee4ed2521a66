"""Who may import whom: no circles, arrows down only, and decisions that know no socket, clock or file."""

import ast
import unittest
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

ROOT = Path(__file__).parent.parent / "cresstray"
# A package, and what nothing in it may import.
NOT = {
    "consensus": (
        "fleet_config",
        "placement",
        "replicas",
        "control_plane",
        "pipeline",
        "sites",
        "config",
        "cli",
        "emulators",
    ),
    "fleet_config": ("placement", "replicas", "control_plane", "pipeline", "cli", "emulators"),
    "placement": ("replicas", "control_plane", "pipeline", "cli", "emulators"),
    "replicas": ("placement", "control_plane", "pipeline", "cli", "emulators"),
    "idempotency": ("pipeline", "sites", "fleet_config", "control_plane", "cli", "emulators"),
    "background": (
        "pipeline",
        "sites",
        "fleet_config",
        "control_plane",
        "membership",
        "idempotency",
        "cli",
        "emulators",
    ),
    "membership": ("pipeline", "sites", "fleet_config", "control_plane", "cli", "emulators"),
    "sites": ("pipeline", "fleet_config", "control_plane", "cli", "emulators"),
    "pipeline": ("control_plane", "cli", "emulators"),
    "control_plane": ("pipeline", "cli", "emulators"),
    "config": ("sites", "fleet_config", "control_plane", "pipeline", "cli", "emulators"),
    "emulators": ("cli",),
}
# Where sockets, clocks, files or processes are; all else in these packages is free of them. The solver keeps
# to a time of its own, in a process of its own.
CONNECTED = {
    "fleet_config.follower",
    "placement.data_transfer",
    "placement.worker",
    "placement.planner",
    "consensus.storage",
    "membership.snapshot_files",
    "membership.recovery",
    "membership.connection_probe",
    "idempotency.client",
    "idempotency.journal",
    "background.worker",
}
PURE = ("consensus", "fleet_config", "placement", "replicas", "membership", "idempotency", "background")
OUTSIDE = {"anyio", "asyncio", "socket", "time", "os", "random", "subprocess", "threading", "sqlite3", "ssl"}


def imports(path: Path) -> set[str]:
    """What it imports as it is loaded: not within functions, and not for types only."""
    found: set[str] = set()
    waiting = list(ast.parse(path.read_text()).body)
    for node in waiting:
        if isinstance(node, ast.Import):
            found |= {name.name for name in node.names}
        elif isinstance(node, ast.ImportFrom):
            found |= {node.module} | {f"{node.module}.{name.name}" for name in node.names}
        elif isinstance(node, ast.Try | ast.With | ast.ClassDef):
            waiting += node.body
        elif isinstance(node, ast.If) and "TYPE_CHECKING" not in ast.unparse(node.test):
            waiting += node.body + node.orelse
    return found


def modules() -> dict[str, set[str]]:
    paths = {
        ".".join(path.relative_to(ROOT.parent).with_suffix("").parts).removesuffix(".__init__"): path
        for path in sorted(ROOT.rglob("*.py"))
    }
    return {name: imports(path) for name, path in paths.items()}


class Arrows(unittest.TestCase):
    def setUp(self) -> None:
        self.modules = modules()
        self.assertGreater(len(self.modules), 80)

    def test_no_circles(self) -> None:
        graph = {
            name: {one for one in found if one in self.modules and one != name}
            for name, found in self.modules.items()
        }
        try:
            TopologicalSorter(graph).prepare()
        except CycleError as trouble:
            self.fail(f"a circle: {' > '.join(trouble.args[1])}")

    def test_arrows_point_down(self) -> None:
        up = [
            f"{name} > {one}"
            for name, found in self.modules.items()
            for one in found
            for package in [name.split(".")[1] if name.count(".") > 1 else ""]
            if any(one.startswith(f"cresstray.{other}") for other in NOT.get(package, ()))
        ]
        self.assertEqual([], sorted(up))

    def test_decisions_know_no_outside(self) -> None:
        impure = [
            f"{name} > {one}"
            for name, found in self.modules.items()
            for one in found
            if name.removeprefix("cresstray.").split(".")[0] in PURE
            and name.removeprefix("cresstray.") not in CONNECTED
            and one.split(".")[0] in OUTSIDE
        ]
        self.assertEqual([], sorted(impure))
