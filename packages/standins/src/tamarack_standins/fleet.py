"""Starts the stand-ins and a number of routers on loopback, and stops them in order."""

from __future__ import annotations

import argparse
import contextlib
import json
import secrets
import signal
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path
from types import TracebackType
from typing import Any, NamedTuple

import urllib3

from tamarack_client.admin import AdminClient
from tamarack_client.http_pool import HttpPool
from tamarack_standins.deployments import (
    ADMIN_TOKEN,
    DEPLOYMENTS,
    Deployment,
    ServiceShape,
    initial_entries,
)
from tamarack_standins.forwarder import Forwarder
from tamarack_standins.ports import HOST, Ports
from tamarack_standins.processes import Processes, read_line
from tamarack_standins.run_log import RunRecord, read_log_file

READY_TIMEOUT_S = 30.0


class RouterProcess(NamedTuple):
    """One router of the fleet and its addresses."""

    router: str
    failure_domain: str
    address: str
    admin: str
    metrics: str
    peer: str
    pid: int


class Fleet:
    """A running fleet; a context manager that terminates every process on exit.

    Parameters
    ----------
    settings
        Further settings of the routers, by environment variable.
    base_port
        First port to allocate; 0 allocates free ones.
    forward
        Whether routers reach each other and the platform through forwarders, which can block
        traffic.
    ca_certs
        Certificate of the routers' listeners, if the settings enable TLS.
    """

    def __init__(
        self,
        deployment: Deployment,
        routers: int,
        *,
        base_port: int = 0,
        settings: dict[str, str] | None = None,
        log_dir: str = "",
        address_ttl_ms: int = 1_000,
        ca_certs: str = "",
        forward: bool = False,
    ) -> None:
        self._deployment = deployment
        self._count = routers
        self._ports = Ports(base_port)
        self._settings = settings or {}
        self._log_dir = log_dir
        self._address_ttl_ms = address_ttl_ms
        self._ca_certs = ca_certs
        self._forward = forward
        self._peer_forwarders: dict[str, Forwarder] = {}
        self._store_forwarders: dict[str, Forwarder] = {}
        self._stack = contextlib.ExitStack()
        self._processes = Processes()
        self._http = HttpPool(retries=False, timeout=urllib3.Timeout(2.0))
        self.routers: dict[str, RouterProcess] = {}
        self.endpoints: list[dict[str, Any]] = []
        self.keys = {name: f"key-{name}-{secrets.token_hex(8)}" for name in deployment.workspaces}
        self.platform: dict[str, Any] = {}
        self._run_dir = Path()

    def __enter__(self) -> Fleet:
        self._run_dir = Path(self._stack.enter_context(tempfile.TemporaryDirectory()))
        self._stack.enter_context(self._processes)
        try:
            self._start()
        except BaseException:
            self._stack.close()
            raise
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._stack.close()

    @property
    def deployment(self) -> Deployment:
        """The simulated deployment."""
        return self._deployment

    @property
    def log_dir(self) -> str:
        """Directory of the processes' logs; empty if they are discarded."""
        return self._log_dir

    @property
    def processes(self) -> Processes:
        """The fleet's processes."""
        return self._processes

    @property
    def addresses(self) -> list[str]:
        """Caller addresses of all routers started so far."""
        return [router.address for router in self.routers.values()]

    def admin(self, operator: str = "fleet") -> AdminClient:
        """A client of the administration API."""
        addresses = [router.admin for router in self.routers.values()]
        scheme = "https" if self._ca_certs else "http"
        return AdminClient(
            addresses,
            ADMIN_TOKEN,
            operator=operator,
            scheme=scheme,
            ca_certs=self._ca_certs or None,
        )

    def describe(self) -> dict[str, Any]:
        """A description of the fleet, printed once it is ready."""
        fields = ("endpoint", "service", "kind", "address", "pid")
        return {
            "ready": True,
            "deployment": self._deployment.name,
            "routers": [router._asdict() for router in self.routers.values()],
            "endpoints": [{f: e[f] for f in fields} for e in self.endpoints],
            "platform": self.platform,
            "workspaces": self.keys,
            "admin_token": ADMIN_TOKEN,
        }

    def start_router(self, name: str, failure_domain: str) -> RouterProcess:
        """Start one router; reusing a name restarts that router cold on new ports."""
        ports = [self._ports.take() for _ in range(4)]
        listen, admin, metrics, peer = (f"{HOST}:{port}" for port in ports)
        environment = {
            "TAMARACK_ADMIN_TOKENS": f"configure:{ADMIN_TOKEN}",
            "TAMARACK_ADDRESS_TTL_MS": str(self._address_ttl_ms),
            "TAMARACK_CONFIG_POLL_MS": "500",
            **self._settings,
        }
        arguments = [
            "--router", name,
            "--failure-domain", failure_domain,
            "--listen", listen,
            "--admin-listen", admin,
            "--metrics-listen", metrics,
            "--peer-listen", peer,
            "--platform", f"http://{self._platform_for(name)}",
        ]  # fmt: skip
        if self._forward:
            peer = self._stack.enter_context(self._forwarder(name, peer)).address
            arguments += ["--peer-advertise", peer]
        seeds = [r.peer for r in self.routers.values()][:3]
        if seeds:
            arguments += ["--peer", ",".join(seeds)]
        child = self._processes.start(
            name, "tamarack_router.main", arguments, environment=environment, log=self._log(name)
        )
        router = RouterProcess(name, failure_domain, listen, admin, metrics, peer, child.pid)
        self.routers[name] = router
        entry = {"kind": "router", "address": listen, "peer_address": peer, "state": "live"}
        self.platform_call("PUT", f"/instances/{name}", entry)
        return router

    def restart_endpoint(self, name: str) -> None:
        """Restart a terminated endpoint at its old address, without its former state."""
        endpoint = next(e for e in self.endpoints if e["endpoint"] == name)
        arguments = [*endpoint["arguments"], "--listen", endpoint["address"]]
        child = self._processes.start(
            name, endpoint["module"], arguments, output=True, log=self._log(name)
        )
        read_line(child)
        endpoint["pid"] = child.pid

    def cut_routers(self, one: str, other: str) -> None:
        """Block traffic between two routers in both directions."""
        self._peer_forwarders[one].cut(other)
        self._peer_forwarders[other].cut(one)

    def cut_store(self, router: str) -> None:
        """Block traffic between a router and the platform."""
        self._store_forwarders[router].cut()

    def silence_peers(self) -> None:
        """Block all open connections between routers permanently; new ones work."""
        for forwarder in self._peer_forwarders.values():
            forwarder.block_open()

    def heal(self) -> None:
        """Lift all blocks; connections that were silenced stay blocked."""
        for forwarder in (*self._peer_forwarders.values(), *self._store_forwarders.values()):
            forwarder.heal()

    def runs(self, kind: str = "") -> list[RunRecord]:
        """Run records of the endpoints, including those that have crashed since."""
        records: list[RunRecord] = []
        for endpoint in self.endpoints:
            if not kind or endpoint["kind"] == kind:
                path = self._run_dir / f"{endpoint['endpoint']}.jsonl"
                records.extend(read_log_file(path) if path.exists() else [])
        return records

    def get_json(self, address: str, path: str) -> Any:
        """Read JSON from one of the fleet's processes."""
        return json.loads(self._http.request("GET", f"http://{address}{path}").data)

    def set_faults(self, address: str, faults: list[dict[str, Any]]) -> None:
        """Set the faults of a stand-in."""
        body = json.dumps(faults).encode()
        headers = {"Content-Type": "application/json"}
        url = f"http://{address}/standin/faults"
        self._http.request("POST", url, body=body, headers=headers)

    def platform_call(self, method: str, path: str, body: Any) -> None:
        """Call the platform's stand-in as the platform itself would."""
        url = f"http://{self.platform['address']}{path}"
        self._http.request(method, url, body=json.dumps(body).encode())

    def wait_ready(self, names: list[str]) -> None:
        """Wait until routers are ready."""
        deadline = time.monotonic() + READY_TIMEOUT_S
        waiting = list(names)
        while waiting:
            waiting = [name for name in waiting if not self._is_ready(name)]
            if time.monotonic() > deadline:
                raise RuntimeError(f"routers not ready in time: {', '.join(waiting)}")
            time.sleep(0.05)

    def _forwarder(self, name: str, target: str) -> Forwarder:
        self._peer_forwarders[name] = Forwarder(target)
        return self._peer_forwarders[name]

    def _platform_for(self, name: str) -> str:
        address: str = self.platform["address"]
        if not self._forward:
            return address
        self._store_forwarders[name] = self._stack.enter_context(Forwarder(address))
        return self._store_forwarders[name].address

    def _start(self) -> None:
        listen = f"{HOST}:{self._ports.take_fixed()}"
        platform = self._processes.start(
            "platform", "tamarack_standins.platform_server", ["--listen", listen], output=True
        )
        self.platform = {"address": read_line(platform)["address"], "pid": platform.pid}
        self._start_endpoints()
        domains = self._deployment.failure_domains
        for index in range(self._count):
            domain = domains[index % len(domains)]
            self.start_router(f"{domain}-r{index + 1}", domain)
        self._commit_first_configuration()
        self.wait_ready(list(self.routers))

    def _start_endpoints(self) -> None:
        started = []
        for service in self._deployment.services:
            for index in range(service.endpoints):
                started.append(self._start_endpoint(service, index))
        for endpoint, child in started:
            endpoint["address"] = read_line(child)["address"]
            self.endpoints.append(endpoint)

    def _start_endpoint(self, service: ServiceShape, index: int) -> tuple[dict[str, Any], Any]:
        domains = self._deployment.failure_domains
        name = f"{service.name}-{index + 1}"
        old = index < service.old
        listen = f"{HOST}:{self._ports.take_fixed()}"
        arguments = ["--listen", listen, "--name", name]
        if service.kind == "model":
            module = "tamarack_standins.engine"
            step_ms = service.step_ms * (2 if old else 1)
            slots = service.slots // 2 if old else service.slots
            arguments += ["--model", service.model, "--step-ms", str(step_ms)]
            arguments += ["--batch", str(slots), "--weights", self.platform["address"]]
        else:
            module = "tamarack_standins.plain_service"
            slots = service.slots
            arguments += ["--work-ms", str(service.step_ms)]
        arguments += ["--run-log", str(self._run_dir / f"{name}.jsonl")]
        child = self._processes.start(name, module, arguments, output=True, log=self._log(name))
        endpoint = {
            "endpoint": name,
            "module": module,
            "arguments": arguments,
            "service": service.name,
            "kind": service.kind,
            "failure_domain": domains[index % len(domains)],
            "slots": slots,
            "pid": child.pid,
        }
        return endpoint, child

    def _commit_first_configuration(self) -> None:
        puts = initial_entries(self._deployment, self.endpoints, self.keys)
        admin = self.admin()
        deadline = time.monotonic() + READY_TIMEOUT_S
        while True:
            try:
                admin.change(puts, preset="ordinary")
                return
            except Exception:
                if time.monotonic() > deadline:
                    raise
                time.sleep(0.1)

    def _is_ready(self, name: str) -> bool:
        if not self._processes.running(name):
            raise RuntimeError(f"router {name} exited before it was ready")
        try:
            url = f"http://{self.routers[name].metrics}/readyz"
            return self._http.request("GET", url).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def _log(self, name: str) -> Any:
        if not self._log_dir:
            return subprocess.DEVNULL
        path = Path(self._log_dir)
        path.mkdir(parents=True, exist_ok=True)
        return self._stack.enter_context(open(path / f"{name}.log", "ab"))


def main() -> int:
    """Run a fleet in the foreground until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", choices=sorted(DEPLOYMENTS), default="domandina")
    parser.add_argument("--routers", type=int, default=6)
    parser.add_argument("--base-port", type=int, default=0)
    parser.add_argument("--log-dir", default="")
    args = parser.parse_args()
    stop = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop.set())
    fleet = Fleet(
        DEPLOYMENTS[args.deployment],
        args.routers,
        base_port=args.base_port,
        log_dir=args.log_dir,
    )
    with fleet:
        print(json.dumps(fleet.describe()), flush=True)
        stop.wait()
    return 0


if __name__ == "__main__":
    sys.exit(main())
