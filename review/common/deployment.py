"""A small deployment on loopback addresses, started as the deploy file says."""

import asyncio
import os
import random
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

from client import Client, Routers
from httpio import call
from server import Server
from store import Store

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
METRICS_PORT = 9101
HEARTBEAT_S = 0.77
BOUNDS = {"seed_lag_s": 3, "reuse_s": 2, "stable_window_ms": 4000,
          "ack_ms": 5000, "sync_s": 4, "drain_ms": 3000, "grace_s": 6,
          "loss_slack_ms": 200, "propagation_ms": 3000,
          "rollback_slack_ms": 250, "skew_max_ms": 12000, "recovery_s": 12,
          "reorder_ms": 2000, "flow_ttl_s": 60}


class CannotRun(Exception):
    """The case can't run on this machine."""


class Record:
    """record.txt of a case: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()
        self.lines = []

    def __call__(self, text):
        line = f"{time.monotonic() - self.started:9.3f} {text}"
        self.lines.append(line)
        print(line, file=self.file, flush=True)

    def find(self, word):
        return [it for it in self.lines if it.split()[1] == word]


def find_network():
    """Returns the first three bytes of a loopback network that is free."""
    for _ in range(50):
        network = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        try:
            for host in range(1, 60):
                with socket.socket() as probe:
                    probe.bind((f"{network}.{host}", METRICS_PORT))
            return network
        except OSError:
            continue
    raise CannotRun("no free network")


def find_ports(address):
    names = ["data_addr", "ready", "control", "outbound", "app", "internal",
             "store"]
    sockets = []
    for _ in names:
        it = socket.socket()
        it.bind((address, 0))
        sockets.append(it)
    ports = {name: it.getsockname()[1] for name, it in zip(names, sockets)}
    for it in sockets:
        it.close()
    return ports


class Node:
    """A process of the system on one machine."""

    def __init__(self, deployment, name, role, address, service=None):
        self.deployment, self.name, self.role = deployment, name, role
        self.address, self.service = address, service
        self.process = None
        self.path = os.path.join(deployment.folder, name + ".toml")

    def _settings(self):
        ports = self.deployment.ports
        listen = {"data_addr": "data_addr", "ready": "ready",
                  "control": "control"}
        if self.service is not None:
            listen["outbound"] = "outbound"
        is_edge = self.service is None
        seeds = ",".join(f'"{it.address}:{ports["control"]}"'
                         for it in self.deployment.edges[:3])
        lines = [
            f'node = "{self.name}"', f'role = "{self.role}"',
            f'machine_class = "{"edge" if is_edge else "side"}"',
            "serves = " + ('["edge","control"]' if is_edge else '["side"]'),
            f'ip = "{self.address}"', 'zone = "zone-a"', 'region = "region"',
            f'internal_ports = [{ports["internal"]},{ports["internal"]}]',
            f"seeds = [{seeds}]", "bootstrap = true", "loss_counts = false",
            'discovery = "local"', 'entry = "announce"',
            f"heartbeat_ms = {int(HEARTBEAT_S * 1000)}", 'hash = "mod"',
            'policies = ["base","drain","config","cost","recover","flows",'
            '"platform"]', 'deploy_mode = "agent"']
        if not is_edge:
            lines += [f'service = "{self.service}"',
                      f'app = "{self.address}:{ports["app"]}"']
        lines += ["[zones]", 'zone-a = "region"', "[listen]"]
        lines += [f'{name} = "{self.address}:{ports[port]}"'
                  for name, port in listen.items()]
        lines += ["[limits]", "cpu_quota = 0.25", "cores = 1",
                  "memory_mb = 260", "max_fds = 4100", "link_mbps = 1000.0",
                  "disk_mb = 0", "[fault_tolerance]", "machines = 2",
                  "zones = 0", "regions = 0", "[bounds]"]
        lines += [f"{name} = {value}" for name, value in BOUNDS.items()]
        lines += ["[platform]",
                  f'addr = "{self.deployment.store_address}:'
                  f'{ports["store"]}"', 'deploy_mode = "objects"',
                  "writes_per_s = 400", "reads_per_s = 2000",
                  "retention_s = 20", "value_bytes = 1048576",
                  "ttl_min_ms = 1000"]
        return "\n".join(lines) + "\n"

    def start(self):
        with open(self.path, "w", encoding="utf-8") as file:
            file.write(self._settings())
        log = open(os.path.join(self.deployment.folder, self.name + ".log"),
                   "ab")
        keep = ("PATH", "HOME", "LANG")
        self.process = subprocess.Popen(
            self.deployment.commands[self.role], cwd=ROOT, stdout=log,
            stderr=log, stdin=subprocess.DEVNULL,
            env={**{it: os.environ[it] for it in keep if it in os.environ},
                 "HAWTHORNBANK_NODE_FILE": self.path})
        log.close()
        self.deployment.record(f"platform starts {self.name}")

    def signal(self, number):
        self.deployment.record(f"platform sends signal {number} to "
                               f"{self.name}")
        self.process.send_signal(number)

    async def wait_for_exit(self, timeout_s):
        until = time.monotonic() + timeout_s
        while self.process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.02)
        return self.process.poll()

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()


class Deployment:
    """Nodes, servers, routers, a client and the store of one case."""

    def __init__(self, record, edges, services):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="hawthornbank-review-")
        network = find_network()
        self.ports = find_ports(f"{network}.1")
        self.commands = read_commands()
        self.store_address = f"{network}.1"
        self.client_address = f"{network}.2"
        self.edges = []
        for n in range(edges):
            self.edges.append(Node(self, f"edge-{n + 1}", "balancer",
                                   f"{network}.{10 + n}"))
        self.sides, self.servers = [], []
        for service, count in services:
            for _ in range(count):
                n = len(self.sides) + 1
                address = f"{network}.{29 + n}"
                self.sides.append(Node(self, f"side-{n}", "agent", address,
                                       service))
                self.servers.append(Server(record, f"s{n}", service, "zone-a",
                                           address, self.ports, HEARTBEAT_S))
        self.store = Store(record)
        self.resets = []
        self.routers = self.client = None

    async def start(self, config):
        """Starts all, and waits until clients can be served."""
        await self.store.start(self.store_address, self.ports["store"])
        self.store.put("config", "main", config)
        for it in self.edges + self.sides:
            it.start()
        await self._wait_for_agents()
        for n, it in enumerate(self.servers):
            it.start(f"i-{n + 1}-1")
        self.routers = Routers(self.record, [it.address for it in self.edges],
                               self.ports)
        self.client = Client(self.record, self.client_address,
                             self.ports["data_addr"], self.routers,
                             self._on_reset)
        until = time.monotonic() + 15
        while time.monotonic() < until:
            if len(self.routers.ready_nodes()) == len(self.edges) and \
                    all(it.acknowledged_beats > 1 for it in self.servers):
                await asyncio.sleep(6)
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the system didn't become ready")

    async def _wait_for_agents(self):
        # A server starts after the node of its machine.
        for it in self.sides:
            for _ in range(100):
                if await call(it.address, self.ports["ready"], "GET",
                              "/api/readyz") == 200:
                    break
                await asyncio.sleep(0.1)
            else:
                raise CannotRun(f"{it.name} didn't start")

    def _on_reset(self, flow, fits):
        key = flow.key
        holder = next((it.name for it in self.servers if it.holds_open(key)),
                      None)
        self.resets.append((time.monotonic(), flow, holder, fits))
        self.record(f"client: a reset of the system's own for port "
                    f"{flow.port}; open at: {holder}; in window: {fits}")

    def end(self):
        """Ends all processes. KEEP=1 keeps their settings and logs."""
        for it in self.edges + self.sides:
            it.end()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)


def read_commands():
    with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
        roles = tomllib.load(file)["roles"]
    commands = {name: shlex.split(it["run"]) for name, it in roles.items()}
    for command in commands.values():
        if not os.access(os.path.join(ROOT, command[0]), os.X_OK):
            raise CannotRun(f"{command[0]} isn't built")
    return commands


def make_config(version, routes, services, idle_timeout_ms=15000):
    """routes: list of (address, port, service)."""
    return {
        "version": version,
        "routes": [{"name": f"r-{n}", "host": host, "path_prefix": f"/{port}/",
                    "kind": "non_idempotent", "timeout_ms": 1500,
                    "goal_ms": 200, "priority": 1, "service": service,
                    "attempts": 2}
                   for n, (host, port, service) in enumerate(routes, 1)],
        "services": [{"name": it, "health_path": "/healthz", "max_conns": 2000,
                      "protocol": "h1", "tls": False} for it in services],
        "limits": {"header_bytes": 16384, "body_bytes": 262144,
                   "header_timeout_ms": 3000,
                   "idle_timeout_ms": idle_timeout_ms}}


def run_case(path, play):
    """Runs play(record, trouble) and exits: 1 broken, 0 held, 2 can't run.

    path is where the record is written.

    play returns whether the rule was broken.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = Record(path)
    try:
        broken = asyncio.run(asyncio.wait_for(play(record, trouble), 110))
    except Exception as error:  # Only a broken rule may exit with 1.
        record(f"the case can't run: {error!r}")
        print(f"can't run: {error!r}")
        sys.exit(2)
    record("the rule was broken" if broken else "the rule held")
    print("broken" if broken else "held")
    sys.exit(1 if broken else 0)
