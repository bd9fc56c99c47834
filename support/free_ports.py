"""Prints loopback ports that the system has just given, one a line.

All are held open until the last is known, for both TCP and UDP, so that no
port is printed twice.
"""

import socket
import sys


def hold_port(held):
    while True:
        tcp = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        tcp.bind(("127.0.0.1", 0))
        port = tcp.getsockname()[1]
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        held.append(tcp)
        held.append(udp)
        try:
            udp.bind(("127.0.0.1", port))
            return port
        except OSError:
            continue  # Another program has the port for UDP.


def main():
    held = []
    for _ in range(int(sys.argv[1])):
        print(hold_port(held))


if __name__ == "__main__":
    main()
