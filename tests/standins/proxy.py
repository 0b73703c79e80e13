"""A loopback proxy that disrupts the connections that pass through it.

The mode may change at any time and applies to open connections too:

    ""         relays bytes
    "delay"    relays bytes after delay_s
    "silent"   keeps connections open and relays nothing in either direction
    "held"     the same, as a link that is cut: a connection that its sender
               resets meanwhile loses what was held up
    "deaf"     relays what the client sends and holds back the answers
    "refuse"   closes new connections at once
`reset()` resets all connections.
"""

import select
import socket
import struct
import threading
import time

CHUNK_BYTES = 65536


def reset_both(pair):
    for connection in pair:
        try:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                  struct.pack("ii", 1, 0))
            connection.close()
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
            self.relay(client, server)
        except (OSError, ValueError):
            # A reset must not become an orderly close on the other side: an
            # answer without a length would seem complete.
            reset_both(pair)
        finally:
            with self.lock:
                self.pairs.discard(pair)
            client.close()
            server.close()

    def relay(self, client, server):
        # Not select: 100 entry VMs need descriptors beyond its limit, 1024.
        poller = select.poll()
        sockets = {source.fileno(): source for source in (client, server)}
        for number in sockets:
            poller.register(number, select.POLLIN)
        while not self.stopped:
            for number, events in poller.poll(50):
                source = sockets[number]
                peer = server if source is client else client
                if self.mode == "held" and events & select.POLLERR:
                    raise ConnectionResetError
                if self.mode in ("silent", "held") or (self.mode == "deaf" and
                                             source is server):
                    time.sleep(0.02)
                    continue
                data = source.recv(CHUNK_BYTES)
                if not data:
                    return
                if self.mode == "delay":
                    time.sleep(self.delay_s)
                peer.sendall(data)
