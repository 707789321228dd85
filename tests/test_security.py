"""TLS for callers, CURVE between routers, roles of operators: granted and denied access."""

from __future__ import annotations

import re
import threading
import time
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

import pytest
import urllib3
import zmq

from tamarack_client import AdminClient, AdminError, Client
from tamarack_core.protocol import MemberUpdate, Ping
from tamarack_core.wire import decode, encode
from tamarack_ctl.key_files import new_certificate, new_fleet_keys
from tamarack_router.peer_links import CurveKeys, PeerLinks, Received
from tamarack_standins.deployments import ADMIN_TOKEN, DEPLOYMENTS
from tamarack_standins.fleet import Fleet

WAIT_S = 5.0
LOG_WAIT_S = 30.0
READ_TOKEN = "read-token-0123456789"
OPERATE_TOKEN = "operate-token-0123456789"


def receive(links: PeerLinks, wait_s: float) -> Received | None:
    poller = zmq.Poller()
    poller.register(links.inbound, zmq.POLLIN)
    deadline = time.monotonic() + wait_s
    while time.monotonic() < deadline:
        if poller.poll(50):
            received = links.receive()
            if received is not None:
                return received
    return None


def ping() -> Ping:
    return Ping(1, "", [MemberUpdate("r2", 5, 0, "127.0.0.1:1", "", "a")])


def test_routers_with_the_fleets_key_receive_messages() -> None:
    keys = CurveKeys(*new_fleet_keys())
    with (
        PeerLinks("r1", 1, "127.0.0.1:0", curve=keys) as one,
        PeerLinks("r2", 2, "127.0.0.1:0", curve=keys) as two,
    ):
        two.send("r1", one.address, [ping()])
        received = receive(one, WAIT_S)
        assert received is not None and (received.sender, received.boot) == ("r2", 2)
        assert decode(received.data, "r2", 2, "") is not None


class Intruder(NamedTuple):
    name: str
    curve: CurveKeys | None


@pytest.mark.parametrize(
    "intruder", [Intruder("no key", None), Intruder("own key", CurveKeys(*new_fleet_keys()))]
)
def test_messages_of_a_router_without_the_fleets_key_are_dropped(intruder: Intruder) -> None:
    fleet_keys = CurveKeys(*new_fleet_keys())
    with (
        PeerLinks("r1", 1, "127.0.0.1:0", curve=fleet_keys) as one,
        PeerLinks("bad", 2, "127.0.0.1:0", curve=intruder.curve) as two,
        PeerLinks("r3", 3, "127.0.0.1:0", curve=fleet_keys) as three,
    ):
        two.send("r1", one.address, [ping()])
        # A later message of a router with the key arrives; the intruder's does not.
        three.send("r1", one.address, [ping()])
        received = receive(one, WAIT_S)
        assert received is not None and received.sender == "r3"
        assert receive(one, 0.3) is None


def test_the_public_key_alone_does_not_grant_access() -> None:
    fleet_keys = CurveKeys(*new_fleet_keys())
    own = new_fleet_keys()
    context = zmq.Context()
    with PeerLinks("r1", 1, "127.0.0.1:0", curve=fleet_keys) as one:
        sock = context.socket(zmq.DEALER)
        sock.curve_publickey = own.public.encode()
        sock.curve_secretkey = own.secret.encode()
        sock.curve_serverkey = fleet_keys.public.encode()
        sock.connect(f"tcp://{one.address}")
        sock.send(encode([ping()]))
        assert receive(one, 0.5) is None
        sock.close(linger=0)
    context.term()


@pytest.fixture(scope="module")
def secured(tmp_path_factory: pytest.TempPathFactory) -> Iterator[tuple[Fleet, str]]:
    folder: Path = tmp_path_factory.mktemp("tls")
    created = new_certificate(["127.0.0.1"], 1)
    certificate, key = folder / "t.crt", folder / "t.key"
    certificate.write_bytes(created.certificate)
    key.write_bytes(created.private_key)
    fleet_keys = new_fleet_keys()
    tokens = f"configure:{ADMIN_TOKEN},read:{READ_TOKEN},operate:{OPERATE_TOKEN}"
    settings = {
        "TAMARACK_TLS_CERTIFICATE": str(certificate),
        "TAMARACK_TLS_KEY": str(key),
        "TAMARACK_CURVE_PUBLIC": fleet_keys.public,
        "TAMARACK_CURVE_SECRET": fleet_keys.secret,
        "TAMARACK_ADMIN_TOKENS": tokens,
        "TAMARACK_TRACE": "stderr",
        "TAMARACK_TRACE_SAMPLE": "1",
    }
    logs = str(tmp_path_factory.mktemp("logs"))
    deployment = DEPLOYMENTS["kitami"]
    with Fleet(
        deployment, 2, settings=settings, log_dir=logs, ca_certs=str(certificate)
    ) as running:
        yield running, str(certificate)


def test_callers_are_served_over_tls_whole_and_streamed(secured: tuple[Fleet, str]) -> None:
    fleet, certificate = secured
    workspace = fleet.deployment.workspaces[0]
    client = Client(fleet.addresses, fleet.keys[workspace], scheme="https", ca_certs=certificate)
    model = fleet.deployment.model
    assert client.complete(model, "x", max_tokens=4).status == 200
    data = b"".join(client.stream(model, "x", max_tokens=200))
    assert data.endswith(b"data: [DONE]\n\n")


def test_plain_http_and_unknown_certificates_are_rejected(secured: tuple[Fleet, str]) -> None:
    fleet, _ = secured
    http = urllib3.PoolManager(retries=False, timeout=5.0)
    try:
        status = http.request("GET", f"http://{fleet.addresses[0]}/v1/models").status
    except urllib3.exceptions.ProtocolError:
        status = 400
    assert status == 400
    with pytest.raises(urllib3.exceptions.SSLError):
        http.request("GET", f"https://{fleet.addresses[0]}/v1/models")


def test_roles_limit_what_operators_may_do(secured: tuple[Fleet, str]) -> None:
    fleet, certificate = secured
    addresses = [router.admin for router in fleet.routers.values()]

    def admin(token: str) -> AdminClient:
        return AdminClient(addresses, token, scheme="https", ca_certs=certificate)

    status = admin(READ_TOKEN).status()
    assert status["ready"]
    # Both routers speak CURVE and see each other.
    assert [member["state"] for member in status["members"]] == ["alive", "alive"]
    with pytest.raises(AdminError) as refused:
        admin(READ_TOKEN).switch_preset("peak")
    assert refused.value.status == 403
    assert admin(OPERATE_TOKEN).switch_preset("peak") > 0
    with pytest.raises(AdminError) as refused:
        admin(OPERATE_TOKEN).change([{"kind": "preset", "name": "x", "body": {}}])
    assert refused.value.status == 403


def test_a_callers_trace_continues_with_a_span_per_hop(secured: tuple[Fleet, str]) -> None:
    fleet, certificate = secured
    workspace = fleet.deployment.workspaces[0]
    client = Client(fleet.addresses, fleet.keys[workspace], scheme="https", ca_certs=certificate)
    trace = "4bf92f3577b34da6a3ce929d0e0e4736"
    headers = {"traceparent": f"00-{trace}-00f067aa0ba902b7-01"}
    body = {"model": fleet.deployment.model, "prompt": "x", "max_tokens": 2}
    client.call("POST", "/v1/completions", body, headers=headers)
    wanted = {"request", "wait", "run"}
    deadline = time.monotonic() + LOG_WAIT_S
    found: set[str] = set()
    while found != wanted and time.monotonic() < deadline:
        logs = [(Path(fleet.log_dir) / f"{r}.log").read_text() for r in fleet.routers]
        spans = re.findall(
            r'"name": "(\w+)",\s+"context": \{\s+"trace_id": "0x(\w+)"', "".join(logs)
        )
        found = {name for name, trace_id in spans if trace_id == trace}
        threading.Event().wait(0.1)
    assert found == wanted


def test_no_secret_is_in_logs_or_metrics(secured: tuple[Fleet, str]) -> None:
    fleet, _ = secured
    secrets = [*fleet.keys.values(), ADMIN_TOKEN, READ_TOKEN, OPERATE_TOKEN]
    http = urllib3.PoolManager(retries=False, timeout=5.0)
    for router in fleet.routers.values():
        text = (Path(fleet.log_dir) / f"{router.router}.log").read_text()
        text += http.request("GET", f"http://{router.metrics}/metrics").data.decode()
        assert "control: " in text
        assert not [secret for secret in secrets if secret in text]
