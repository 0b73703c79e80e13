"""Cuts the links of single entry VMs to some ports of 127.0.0.1, with an object
that is preloaded into them (standins/cut_links.c)."""

import os
import socket

from harness import BUILD

CUT_LINKS = os.path.join(BUILD, "lib", "libsas_cut_links.so")
MODES = ("silent", "reset", "refuse")


class Hole:
    """A port whose queue of new connections is full: none is completed."""

    def __init__(self):
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(0)
        self.port = self.listener.getsockname()[1]
        self.fillers = []
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))
            self.fillers.append(filler)

    def close(self):
        for each in self.fillers + [self.listener]:
            each.close()


class LinkCutter:
    """folder: for the files that tell the entry VMs what is cut."""

    def __init__(self, folder):
        self.folder = folder
        self.hole = Hole()

    def close(self):
        self.hole.close()

    def get_path(self, vm):
        return os.path.join(self.folder, vm.name + ".cut")

    def prepare(self, vm):
        """Call it before the entry VM starts."""
        vm.environment.update({
            "LD_PRELOAD": CUT_LINKS, "SAS_CUT_LINKS": self.get_path(vm),
            "ASAN_OPTIONS": "verify_asan_link_order=0"})

    def cut(self, vm, mode, ports):
        """Replaces an earlier cut of the entry VM."""
        path = self.get_path(vm)
        with open(path + ".new", "w") as file:
            file.write("%s %d %s\n" % (mode, self.hole.port,
                                       " ".join(str(port) for port in ports)))
        os.rename(path + ".new", path)

    def count_stale(self, vm):
        """How many connections the mode stale has made silent; None: not yet
        known."""
        try:
            with open(self.get_path(vm) + ".stale") as file:
                return int(file.read())
        except FileNotFoundError:
            return None

    def is_holding(self, vm):
        """Whether a write waits in the mode hold."""
        return os.path.exists(self.get_path(vm) + ".held")

    def heal(self, vm):
        os.remove(self.get_path(vm))
