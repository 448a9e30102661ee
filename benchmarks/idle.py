"""CPU time and memory of idle daemons, by the number of endpoints and of entry hosts.

``python -m benchmarks.idle`` starts separate processes and prints a table.
"""

import os
import time

from tests.loopback_deployment import TOKEN, Deployment

MEASUREMENT_S = 10.0
SIZES = ((1, 2), (1, 8), (4, 8))  # entry hosts and engines
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
MIB = 1 << 20
DOCUMENT = """\
service: chat
owner: idle
models: [{name: small, memory: 8GiB, copies: 1}]
"""


def read_process_usage(pid: int) -> tuple[float, float]:
    """Return CPU seconds and resident memory in MiB of a process."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    with open(f"/proc/{pid}/statm", encoding="ascii") as file:
        pages = int(file.read().split()[1])
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S, pages * PAGE_BYTES / MIB


def measure(nodes: int, engines: int) -> list[tuple[str, float, float]]:
    """Return share of a core and MiB of the first controller and gateway of a deployment."""
    deployment = Deployment()
    try:
        for index in range(engines):
            address = deployment.start_emulator("engine")
            deployment.register_host(f"e{index}", address, "chat", f"zone-{index % 2}")
        for index in range(nodes):
            deployment.add_node(f"entry-{index}", f"zone-{index % 2}")
        headers = {"Authorization": f"Bearer {TOKEN}", "If-Match": "0"}
        url = f"http://{deployment.nodes[0].admin_address}/api/documents/chat"
        deployment.http.request("PUT", url, body=DOCUMENT, headers=headers)
        deployment.await_model(deployment.nodes[0], "small")
        time.sleep(MEASUREMENT_S / 2)
        node = deployment.nodes[0]
        pid_by_role = {
            "controller": node.controller.popen.pid,
            "gateway": node.gateway.popen.pid,
        }
        before = {role: read_process_usage(pid)[0] for role, pid in pid_by_role.items()}
        time.sleep(MEASUREMENT_S)
        after = {role: read_process_usage(pid) for role, pid in pid_by_role.items()}
        return [(r, (after[r][0] - before[r]) / MEASUREMENT_S, after[r][1]) for r in pid_by_role]
    finally:
        deployment.close()


def main() -> None:
    """Print the table."""
    print("| hosts | engines | role | share of a core | memory |\n| --- | --- | --- | --- | --- |")
    for nodes, engines in SIZES:
        for role, share, memory in measure(nodes, engines):
            print(f"| {nodes} | {engines} | {role} | {share:.2%} | {memory:.0f} MiB |", flush=True)


if __name__ == "__main__":
    main()
