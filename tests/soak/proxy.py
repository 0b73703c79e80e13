"""A loopback proxy that harms the connections that pass through it.

Modes, which may change at any moment and hold for old connections too:

    ""         passes bytes on
    "delay"    passes them on after delay_s
    "silent"   keeps connections open and passes nothing on, either way
    "deaf"     passes on what the client sends and keeps the answers back
    "refuse"   closes new connections at once
`reset()` ends all connections with a reset.
"""

import select
import socket
import struct
import threading
import time

CHUNK = 65536


def reset_both(pair):
    for end in pair:
        try:
            end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                           struct.pack("ii", 1, 0))
            end.close()
        except OSError:
            pass


class Proxy:
    def __init__(self, port):
        self.target = port
        self.mode = ""
        self.delay_s = 0.05
        self.lock = threading.Lock()
        self.pairs = set()
        self.stopped = False
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def stop(self):
        self.stopped = True
        self.listener.close()
        self.reset()

    def reset(self):
        with self.lock:
            pairs, self.pairs = self.pairs, set()
        for pair in pairs:
            reset_both(pair)

    def accept(self):
        while not self.stopped:
            try:
                client, _ = self.listener.accept()
            except OSError:
                return
            if self.mode == "refuse":
                client.close()
                continue
            threading.Thread(target=self.serve, args=(client,),
                             daemon=True).start()

    def serve(self, client):
        try:
            server = socket.create_connection(("127.0.0.1", self.target))
        except OSError:
            client.close()
            return
        pair = (client, server)
        with self.lock:
            self.pairs.add(pair)
        try:
            self.carry(client, server)
        except (OSError, ValueError):
            # A reset on one side must not look like an orderly end on the
            # other: an answer without a length would seem whole.
            reset_both(pair)
        finally:
            with self.lock:
                self.pairs.discard(pair)
            client.close()
            server.close()

    def carry(self, client, server):
        # Not select: with a hundred entry VMs descriptors go beyond its 1024.
        poller = select.poll()
        ends = {end.fileno(): end for end in (client, server)}
        for number in ends:
            poller.register(number, select.POLLIN)
        while not self.stopped:
            for number, _ in poller.poll(50):
                end = ends[number]
                other = server if end is client else client
                if self.mode == "silent" or (self.mode == "deaf" and
                                             end is server):
                    time.sleep(0.02)
                    continue
                data = end.recv(CHUNK)
                if not data:
                    return
                if self.mode == "delay":
                    time.sleep(self.delay_s)
                other.sendall(data)
