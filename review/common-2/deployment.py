"""A small deployment on loopback addresses: processes, routers and stand-ins."""

import asyncio
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import zlib

import http_calls as http
from endpoints import Client, Server
from store import Store

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ("zone-a", "zone-b", "zone-c")
IDLE_TIMEOUT_S = 15
FLOW_TTL_S = 60
STABLE_WINDOW_S = 4
HEARTBEAT_MS = 1200
PORT_NAMES = ("data", "internal", "control", "ready", "outbound", "app", "store")
METRICS_PORT = 9101

SETTINGS = """\
node = "{name}"
role = "{role}"
machine_class = "{role_class}"
serves = [{serves}]
ip = "{ip}"
zone = "{zone}"
region = "region-1"
internal_ports = [{internal},{internal}]
seeds = [{seeds}]
bootstrap = {bootstrap}
loss_counts = false
discovery = "local"
entry = "announce"
heartbeat_ms = 1200
policies = ["base","drain","config","cost","recover","flows","platform"]
hash = "mod"
deploy_mode = "agent"
{target}
[zones]
zone-a = "region-1"
zone-b = "region-1"
zone-c = "region-1"
[listen]
data_addr = "{ip}:{data}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
{outbound}
[limits]
cpu_quota = 0.15
cores = 1
memory_mb = 128
max_fds = 4096
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_s = 2
stable_window_ms = 4000
ack_ms = 5000
sync_s = 4
drain_ms = 3000
grace_s = 6
loss_slack_ms = 200
propagation_ms = 3000
rollback_slack_ms = 250
skew_max_ms = 12000
recovery_s = 12
reorder_ms = 2000
flow_ttl_s = 60
[platform]
addr = "{store_ip}:{store}"
deploy_mode = "objects"
writes_per_s = 400
reads_per_s = 2000
retention_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"""


class CannotRun(Exception):
    """The case couldn't be played."""


def read_run_commands():
    """The commands of the deploy file by what their role serves."""
    roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
    return {("side" if "side" in it["serves"] else "edge"): it["run"].split()
            for it in roles.values()}


def is_free(addresses, port):
    """Whether a port is free on all addresses, for TCP and UDP."""
    for address in addresses:
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as probe:
                try:
                    probe.bind((address, port))
                except OSError:
                    return False
    return True


def find_free_ports(addresses):
    """Ports that are free on all addresses."""
    ports = {}
    while len(ports) < len(PORT_NAMES):
        port = random.randint(11000, 30000)
        if port not in ports.values() and is_free(addresses, port):
            ports[PORT_NAMES[len(ports)]] = port
    return ports


def choose_network(machines):
    """The first two numbers of a deployment's addresses, which nobody uses."""
    for _ in range(100):
        net = f"127.{random.randint(20, 250)}"
        if is_free([f"{net}.{n % 3 + 1}.{10 + n}" for n in range(machines)],
                   METRICS_PORT):
            return net
    raise CannotRun("the metrics port isn't free")


class Node:
    """A machine with one process of the system."""

    def __init__(self, deployment, name, ip, zone, service=None):
        self.deployment, self.name, self.ip = deployment, name, ip
        self.zone, self.service = zone, service
        self.process = None
        self.ready_answers = []
        self.in_rotation = False
        self.last_disrupted_at = 0.0

    @property
    def settings_path(self):
        return self.deployment.folder / f"{self.name}.toml"

    def write_settings(self):
        """Writes the settings that are in effect now."""
        it = self.deployment
        is_agent = self.service is not None
        changed = self.settings_path.with_suffix(".new")
        changed.write_text(SETTINGS.format(
            name=self.name, role="agent" if is_agent else "balancer",
            role_class="side" if is_agent else "edge",
            serves='"side"' if is_agent else '"edge","control"', ip=self.ip,
            zone=self.zone, seeds=it.format_seeds(),
            bootstrap="true" if it.bootstrap else "false",
            target=(f'app = "{self.ip}:{it.ports["app"]}"\n'
                    f'service = "{self.service}"') if is_agent else "",
            outbound=(f'outbound = "{self.ip}:{it.ports["outbound"]}"'
                      if is_agent else ""),
            store_ip=it.store_ip, **{k: it.ports[k] for k in (
                "internal", "data", "ready", "control", "store")}))
        changed.replace(self.settings_path)

    def start(self):
        it = self.deployment
        is_agent = self.service is not None
        self.write_settings()
        with open(it.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                it.commands["side" if is_agent else "edge"], cwd=ROOT,
                stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                env={"PATH": os.environ["PATH"],
                     "HAWTHORNBANK_NODE_FILE": str(self.settings_path)})
        self.last_disrupted_at = time.monotonic()
        it.record("process", self.name, "starts")

    def kill(self, number=signal.SIGKILL):
        self.deployment.record("process", self.name, "gets", number.name)
        self.last_disrupted_at = time.monotonic()
        self.process.send_signal(number)
        if number == signal.SIGKILL:
            self.process.wait()
            self.last_disrupted_at = time.monotonic()


class Deployment:
    def __init__(self, case_folder, edges=6, sides=10, first_seq=1):
        self.case_folder = pathlib.Path(case_folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.started_at = time.monotonic()
        self.lines = []
        self.bootstrap = True
        self.first_seq = first_seq
        self.seeds = None
        net = choose_network(edges)
        self.store_ip = f"{net}.200.7"
        self.route = None
        self.net = net
        self.service = "svc-a"
        self.kind, self.timeout_ms, self.goal_ms = "non_idempotent", 1500, 200
        self.edges = [Node(self, f"edge-{n}", f"{net}.{n % 3 + 1}.{10 + n}",
                           ZONES[n % 3]) for n in range(edges)]
        self.sides = [Node(self, f"side-{n}", f"{net}.{n % 3 + 1}.{40 + n}",
                           ZONES[n % 3], self.service) for n in range(sides)]
        self.spare_edges = [
            Node(self, f"edge-{n}", f"{net}.{n % 3 + 1}.{70 + n}", ZONES[n % 3])
            for n in range(edges, 2 * edges)]
        self.servers = {}
        self.clients = []
        self.store = Store()
        self.resets = []  # resets of open flows: (time, key)
        self.tasks = []
        self.planned = []
        self.commands = read_run_commands()
        if not (ROOT / self.commands["edge"][0]).exists():
            raise CannotRun("the programs of the deploy file aren't built")
        addresses = [it.ip for it in self.edges + self.sides + self.spare_edges]
        client_ips = [f"{net}.100.{n + 1}" for n in range(3)]
        self.ports = find_free_ports(addresses + client_ips + [self.store_ip])
        self.client_ips = client_ips
        self.route = (f"{net}.210.1", 8443)

    def record(self, *words):
        self.lines.append(f"{time.monotonic() - self.started_at:8.3f} "
                          + " ".join(str(it) for it in words))

    def format_seeds(self):
        seeds = self.seeds or [it.ip for it in self.edges[:3]]
        return ",".join(f'"{it}:{self.ports["control"]}"' for it in seeds)

    # The routers ----------------------------------------------------------

    def choose(self, zone, packet):
        """The address of the node that gets a packet."""
        live = [it for it in self.edges if it.process is not None]
        used = []
        for zones in ((zone,), ZONES):
            nodes = [it for it in live if it.zone in zones]
            ready = [it for it in nodes if it.in_rotation]
            if ready:
                used = ready if 2 * len(ready) >= len(nodes) else nodes
                break
        used = used or live  # None is in rotation: all are used.
        if not used:
            return None
        name = f"{packet.src}{packet.sport}{packet.dst}{packet.dport}"
        return used[zlib.crc32(name.encode()) % len(used)].ip

    async def check_readiness(self):
        async def check(node):
            status = await http.call((node.ip, self.ports["ready"]), "GET",
                                     "/api/readyz", timeout=0.5)
            node.ready_answers = (node.ready_answers + [status == 200])[-2:]
            if status == 200:
                node.in_rotation = True
            elif not any(node.ready_answers):
                node.in_rotation = False

        while True:
            await asyncio.gather(asyncio.sleep(0.5),
                                 *(check(it) for it in self.edges
                                   if it.process is not None))

    # Parts ----------------------------------------------------------------

    def put_config(self, version):
        self.store.put("config", "main", {
            "version": version,
            "routes": [{"name": "r-1", "host": self.route[0],
                        "path_prefix": f"/{self.route[1]}/",
                        "kind": self.kind, "timeout_ms": self.timeout_ms,
                        "goal_ms": self.goal_ms, "priority": 1,
                        "service": self.service, "attempts": 2}],
            "services": [{"name": self.service, "health_path": "/healthz",
                          "max_conns": 2000, "protocol": "h1", "tls": False}],
            "limits": {"header_bytes": 16384, "body_bytes": 262144,
                       "header_timeout_ms": 3000,
                       "idle_timeout_ms": IDLE_TIMEOUT_S * 1000}})
        self.record("operator", "writes configuration", version)

    async def start_server(self, side):
        server = Server(self.record, side.ip, self.ports, self.service,
                        side.zone, f"i-{side.name}", HEARTBEAT_MS / 1000,
                        self.first_seq)
        self.servers[side.name] = server
        await server.start()
        return server

    async def start(self, servers=None):
        await self.store.start(self.store_ip, self.ports["store"])
        self.put_config(7)
        machines = self.edges + self.sides
        for it in random.sample(machines, len(machines)):
            it.start()
            await asyncio.sleep(0.25 / len(machines))
        for it in self.sides[:servers]:
            await self.start_server(it)
        for ip, zone in zip(self.client_ips, ZONES):
            client = Client(self.record, ip, self.ports["data"], zone, self,
                            self.on_system_reset)
            await client.start()
            self.clients.append(client)
        self.tasks.append(asyncio.create_task(self.check_readiness()))

    def find_server(self, key):
        for name, server in self.servers.items():
            if server.holds(key):
                return name, server
        return None, None

    def on_system_reset(self, flow):
        """Records a reset of the system's own, and whether it breaks FLOW."""
        now = time.monotonic()
        name, server = self.find_server(flow.key)
        if server is None or flow.state != "open":
            self.record("client", flow.key, "gets a reset of the system, flow not open")
            return
        held = server.flows[flow.key]
        machines = self.edges + self.sides
        last = max(it.last_disrupted_at for it in machines
                   if it not in self.planned)
        counts = (now - last > STABLE_WINDOW_S
                  and now - held.opened_at < FLOW_TTL_S
                  and now - held.last_at < IDLE_TIMEOUT_S)
        self.record("client", flow.key, "gets a reset of the system; the flow is"
                    f" open at the live server {server.instance} since"
                    f" {now - held.opened_at:.2f} s, idle for"
                    f" {now - held.last_at:.2f} s; last disruption"
                    f" {now - last:.2f} s ago;",
                    "breaks FLOW" if counts else "excused")
        if counts:
            self.resets.append((now, flow.key))

    async def open_flow(self, client=None):
        """Opens a flow and has one request served on it; None if that fails."""
        client = client or random.choice(self.clients)
        flow = client.new_flow(self.route)
        if not await flow.open():
            return None
        outcome = await flow.request(random.getrandbits(60))
        return flow if outcome == "served" else None

    async def measure(self, seconds, per_s):
        """The share of new requests, a flow each, that are served."""
        async def ask():
            flow = await self.open_flow()
            if flow is not None:
                flow.send(FIN_ACK, flow.next)
                flow.state = "closed"
            return flow is not None

        tasks = []
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            tasks.append(asyncio.create_task(ask()))
            await asyncio.sleep(1 / per_s)
        served = sum(await asyncio.gather(*tasks))
        self.record("measured", f"{served} of {len(tasks)} requests served")
        return served, len(tasks)

    async def wait_until_ready(self):
        for _ in range(80):
            await asyncio.sleep(0.25)
            if all(it.in_rotation for it in self.edges):
                break
        else:
            raise CannotRun("the nodes didn't become ready")
        # All processes are past their settling time, and calm.
        await asyncio.sleep(STABLE_WINDOW_S + 0.5)
        served, asked = await self.measure(1.0, 30)
        if served < asked:
            raise CannotRun(f"only {served} of {asked} requests were served "
                            "before any disruption")

    def stop(self):
        for task in self.tasks:
            task.cancel()
        for server in self.servers.values():
            server.stop()
        for it in self.edges + self.sides + self.spare_edges:
            if it.process is not None and it.process.poll() is None:
                it.process.kill()
                it.process.wait()
        text = "\n".join(self.lines) + "\n"
        (self.case_folder / "record.txt").write_text(
            text.replace(str(self.folder), "TEMP"))
        if os.environ.get("KEEP"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder)


FIN_ACK = 4 | 1


def play(case_folder, case, **options):
    """Plays a case and ends the process with the status that run.sh reports."""

    async def run():
        deployment = Deployment(case_folder, **options)
        try:
            broken = await asyncio.wait_for(
                case(deployment, os.environ.get("TROUBLE", "1") != "0"), 110)
            forged = sum(it.forged for it in deployment.servers.values())
            doubled = sum(n > 1 for it in deployment.servers.values()
                          for n in it.runs.values())
            deployment.record("verdict:", "broken" if broken else "held",
                              f"(forged packets {forged}, requests run twice {doubled})")
            print(deployment.lines[-1].strip())
            return 1 if broken else 0
        finally:
            deployment.stop()

    try:
        sys.exit(asyncio.run(run()))
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        print("couldn't run:", error or type(error).__name__)
        sys.exit(2)
