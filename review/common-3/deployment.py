"""A small deployment on loopback addresses: machines, settings, processes."""

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

import client
import server
import store

ROOT = pathlib.Path(__file__).resolve().parents[2]
METRICS_PORT = 9101
BEAT_MS = 1200


class Machine:
    """A machine of the system: its addresses, settings and process."""

    def __init__(self, deployment, kind, zone, number, service=None):
        self.deployment = deployment
        self.kind = kind
        self.zone = zone
        self.service = service
        self.name = f"{kind}-{zone}-{number}"
        self.ip = deployment.next_ip(kind)
        ports = deployment.ports
        self.data = (self.ip, ports["data"])
        self.ready = (self.ip, ports["ready"])
        self.control = (self.ip, ports["control"])
        self.outbound = (self.ip, ports["outbound"])
        self.app = (self.ip, ports["app"])
        self.process = None
        self.settings_file = deployment.folder / f"{self.name}.toml"

    def write_settings(self):
        new = self.settings_file.with_suffix(".new")
        new.write_text(self.deployment.settings_of(self))
        new.replace(self.settings_file)

    def start(self):
        """Starts the process with the command of the deploy file."""
        role = "balancer" if self.kind == "edge" else "agent"
        command = self.deployment.roles[role]["run"].split()
        self.write_settings()
        environment = {it: os.environ[it] for it in ("PATH", "HOME", "LANG")
                       if it in os.environ}
        environment["HAWTHORNBANK_NODE_FILE"] = str(self.settings_file)
        log = open(self.deployment.folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(
            command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
            stdout=log, stderr=log)
        log.close()
        self.deployment.record(f"{self.name} starts")

    def signal(self, number, note):
        self.deployment.record(f"{self.name}: {note}")
        self.process.send_signal(number)

    def freeze(self):
        self.signal(signal.SIGSTOP, "freezes")

    def wake(self):
        self.signal(signal.SIGCONT, "wakes")

    def kill(self):
        self.signal(signal.SIGKILL, "is killed")
        self.process.wait()


class Deployment:
    """Starts a store, machines and servers, and ends them."""

    def __init__(self, case, title):
        self.case = pathlib.Path(case).resolve().parent
        self.began = time.monotonic()
        self.lines = open(self.case / "record.txt", "w")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-3-"))
        with open(ROOT / "deploy/system.toml", "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        self.net = f"127.{random.randint(20, 219)}"
        self.counts = {}
        names = ("data", "ready", "control", "outbound", "app", "internal",
                 "store")
        self.ports = dict(zip(names, self._free_ports(len(names))))
        self.machines = []
        self.servers = []
        self.clients = []
        self.router = None
        self.zones = []
        self.bounds = {}
        self.store = store.Store((self.next_ip("store"), self.ports["store"]),
                                 self.record)
        self.record(title)

    def record(self, text):
        self.lines.write(f"{time.monotonic() - self.began:9.3f} {text}\n")

    def next_ip(self, kind):
        third = {"store": 0, "edge": 1, "side": 2, "client": 9}[kind]
        self.counts[kind] = self.counts.get(kind, 1) + 1
        return f"{self.net}.{third}.{self.counts[kind]}"

    def _free_ports(self, count):
        sockets = [socket.socket() for _ in range(count)]
        try:
            for it in sockets:
                it.bind((f"{self.net}.255.1", 0))
            return [it.getsockname()[1] for it in sockets]
        finally:
            for it in sockets:
                it.close()

    # Settings as DEPLOY.md shows them, with the figures of tezontle-l4 and what
    # a case puts into `bounds`.
    def settings_of(self, machine):
        edges = [it for it in self.machines if it.kind == "edge"]
        seeds = ",".join('"%s:%d"' % it.control for it in edges[:3])
        is_edge = machine.kind == "edge"
        lines = [
            f'node = "{machine.name}"',
            f'role = "{"balancer" if is_edge else "agent"}"',
            f'machine_class = "{machine.kind}"',
            "serves = " + ('["edge","control"]' if is_edge else '["side"]'),
            f'ip = "{machine.ip}"', f'zone = "{machine.zone}"',
            'region = "mx-bajio"',
            f'internal_ports = [{self.ports["internal"]},'
            f'{self.ports["internal"]}]',
            f"seeds = [{seeds}]", "bootstrap = true", "loss_counts = false",
            'discovery = "local"', 'entry = "announce"',
            f"heartbeat_ms = {BEAT_MS}",
            'policies = ["base","drain","config","cost","recover","flows",'
            '"platform"]', 'hash = "mod"', 'deploy_mode = "agent"']
        if not is_edge:
            lines += ['app = "%s:%d"' % machine.app,
                      f'service = "{machine.service}"']
        lines += ["[zones]"] + [f'{it} = "mx-bajio"' for it in self.zones]
        lines += ["[listen]", 'data_addr = "%s:%d"' % machine.data]
        if not is_edge:
            lines.append('outbound = "%s:%d"' % machine.outbound)
        lines += ['ready = "%s:%d"' % machine.ready,
                  'control = "%s:%d"' % machine.control, "[limits]",
                  f"cpu_quota = {0.055 if is_edge else 0.15}", "cores = 1",
                  f"memory_mb = {260 if is_edge else 128}",
                  f"max_fds = {4100 if is_edge else 4096}",
                  "link_mbps = 1000.0", "disk_mb = 0", "[fault_tolerance]",
                  "machines = 2", "zones = 0", "regions = 0", "[bounds]"]
        bounds = dict(seed_lag_s=3, reuse_s=2, stable_window_ms=4000,
                      ack_ms=5000, sync_s=4, drain_ms=3000, grace_s=6,
                      loss_slack_ms=200, propagation_ms=3000,
                      rollback_slack_ms=250, skew_max_ms=12000, recovery_s=12,
                      reorder_ms=2000, flow_ttl_s=60)
        bounds.update(self.bounds)
        lines += [f"{name} = {value}" for name, value in bounds.items()]
        lines += ["[platform]", 'addr = "%s:%d"' % self.store.address,
                  'deploy_mode = "objects"', "writes_per_s = 400",
                  "reads_per_s = 2000", "retention_s = 20",
                  "value_bytes = 1048576", "ttl_min_ms = 1000"]
        return "\n".join(lines) + "\n"

    def add_machine(self, kind, zone, service=None):
        number = 1 + sum(it.kind == kind and it.zone == zone
                         for it in self.machines)
        machine = Machine(self, kind, zone, number, service)
        self.machines.append(machine)
        return machine

    def edges(self):
        return [it for it in self.machines if it.kind == "edge"]

    def sides(self):
        return [it for it in self.machines if it.kind == "side"]

    async def start(self, config):
        """Starts all, and waits until all edge machines are in rotation."""
        self.zones = sorted({it.zone for it in self.machines})
        await self.store.start()
        self.store.put_config(config)
        for it in self.machines:
            it.start()
        for it in self.sides():
            await self.add_server(it)
        self.router = client.Router(self.edges(), self.record)
        self.router.start()
        end = time.monotonic() + 15
        while any(self.router.misses[it.name] >= 2 for it in self.edges()):
            if time.monotonic() > end:
                raise RuntimeError("the edge machines don't become ready")
            await asyncio.sleep(0.1)
        await asyncio.sleep(3)

    async def add_server(self, machine, service=None, **options):
        name = f"server-{1 + len(self.servers)}@{machine.name}"
        added = server.Server(machine, service or machine.service, self.record,
                              name, beat_s=BEAT_MS / 1000, **options)
        self.servers.append(added)
        await added.start()
        return added

    async def add_client(self, zone):
        added = client.Client(self.next_ip("client"), self.ports["data"], zone,
                              self.router, self.record)
        self.clients.append(added)
        await added.start()
        return added

    def stop(self):
        for it in self.machines:
            if it.process is not None and it.process.poll() is None:
                it.process.send_signal(signal.SIGCONT)
                it.process.kill()
                it.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.lines.close()


def make_route(name, host, port, service, kind="idempotent", **options):
    route = dict(name=name, host=host, path_prefix=f"/{port}/", kind=kind,
                 timeout_ms=1200, goal_ms=150, priority=2, service=service,
                 attempts=2)
    route.update(options)
    return route


def make_config(version, routes, idle_timeout_ms=15000):
    names = sorted({it["service"] for it in routes})
    return dict(version=version, routes=routes,
                services=[dict(name=it, health_path="/healthz",
                               max_conns=2000, protocol="h1", tls=False)
                          for it in names],
                limits=dict(header_bytes=16384, body_bytes=262144,
                            header_timeout_ms=3000,
                            idle_timeout_ms=idle_timeout_ms))


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


async def _play_quietly(play, deployment):
    # The stand-ins' connections are cut at the end; that is no finding.
    asyncio.get_running_loop().set_exception_handler(lambda *_: None)
    return await play(deployment)


def run(case, title, play):
    """Plays a case: play(deployment) returns a list of breaks of the rule.
    Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    deployment = Deployment(case, f"{title}, TROUBLE={int(has_trouble())}")
    code = 2
    try:
        breaks = asyncio.run(_play_quietly(play, deployment))
        ended = [it.name for it in deployment.machines
                 if it.process is not None and it.process.poll() not in
                 (None, -signal.SIGKILL)]
        deployment.record(f"processes that ended by themselves: {ended}")
        for it in breaks:
            deployment.record(f"BROKEN: {it}")
            print(f"BROKEN: {it}")
        code = 1 if breaks else 0
        deployment.record(f"result: {'broken' if breaks else 'held'}")
        print("broken" if breaks else "held")
    except Exception as error:  # Reported: the case couldn't run.
        deployment.record(f"couldn't run: {error!r}")
        print(f"couldn't run: {error!r}")
    finally:
        deployment.stop()
    sys.exit(code)
