"""Prints free loopback ports that the operating system chose, one per line.

Usage: free_ports.py COUNT

Every port stays bound for both TCP and UDP until the last one is printed, so
that no port is printed twice.
"""

import socket
import sys


def bind_free_port(held_sockets):
    while True:
        tcp = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        tcp.bind(("127.0.0.1", 0))
        port = tcp.getsockname()[1]
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        held_sockets.append(tcp)
        held_sockets.append(udp)
        try:
            udp.bind(("127.0.0.1", port))
            return port
        except OSError:
            continue  # Another program uses the port for UDP.


def main():
    held_sockets = []
    for _ in range(int(sys.argv[1])):
        print(bind_free_port(held_sockets))


if __name__ == "__main__":
    main()
