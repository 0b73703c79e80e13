#!/usr/bin/python3
"""Signals at any time from the beginning of main to the process's end."""

import datetime
import errno
import os
import shutil
import threading
import unittest

from entry_harness import Fleet, block_signals, signal, time, wait_for
from harness import Deployment

GAP_S = 0.0001  # between two signals
FLOODS = 3
RELOAD_GAP_S = 0.9  # 1 s, less what the wall clock may be set back


def parse_time(line):
    """Seconds since the epoch of a log line."""
    return datetime.datetime.fromisoformat(
        line["time"].replace("Z", "+00:00")).timestamp()


class SignalFlood(threading.Thread):
    """Sends signals to a process in turn until it has ended or stop_sending()
    is called."""

    def __init__(self, process, *numbers):
        super().__init__()
        self.process = process
        self.numbers = numbers
        self.stopped = False
        self.start()

    def run(self):
        while not self.stopped and self.process.poll() is None:
            for number in self.numbers:
                self.process.send_signal(number)
            time.sleep(GAP_S)

    def stop_sending(self):
        self.stopped = True
        self.join()


class BlockedStart:
    """Replaces the settings file by a FIFO: the process blocks at the
    beginning of main, where it reads the settings, until unblock()."""

    def __init__(self, path):
        self.path = path
        with open(path, "rb") as file:
            self.text = file.read()
        os.remove(path)
        os.mkfifo(path)
        self.pipe = None

    def reach_main(self):
        wait_for(self.open_pipe, "main reads the settings")

    def open_pipe(self):
        """A FIFO cannot be opened for writing before its reader (ENXIO)."""
        try:
            self.pipe = os.open(self.path, os.O_WRONLY | os.O_NONBLOCK)
        except OSError as error:
            if error.errno != errno.ENXIO:
                raise
        return self.pipe is not None

    def unblock(self):
        """Restores the file and lets the process read the settings."""
        with open(self.path + ".new", "wb") as file:
            file.write(self.text)
        shutil.move(self.path + ".new", self.path)
        try:
            os.write(self.pipe, self.text)
        except BrokenPipeError:
            pass  # the process has ended; the test checks for that
        os.close(self.pipe)


class PlatformMode:
    """One entry VM in platform mode."""

    def __init__(self):
        self.fleet = Fleet(vms=("a",))
        self.vm = self.fleet.vms[0]

    def __enter__(self):
        self.fleet.__enter__()
        self.fleet.add_worker("d1")
        self.fleet.start()
        self.stop()
        return self

    def __exit__(self, *error):
        self.fleet.__exit__(*error)

    def settings(self):
        return self.vm.settings_path

    def start(self, blocked=False):
        """blocked: does not overwrite the FIFO with a settings file."""
        if blocked:
            self.vm.spawn()
        else:
            self.vm.start()

    def stop(self):
        self.vm.stop()

    def process(self):
        return self.vm.process

    def is_ready(self):
        return self.vm.is_ready()

    def has_handled_reload(self):
        return bool(self.vm.find_lines("process.reload"))


class StandaloneMode:
    """One entry VM in standalone mode, which has nothing to reload."""

    def __init__(self):
        self.deployment = Deployment(regions=("montreal",), vms=1,
                                     limits={"drain_notice_ms": 300})

    def __enter__(self):
        self.deployment.__enter__()
        self.stop()
        return self

    def __exit__(self, *error):
        self.deployment.__exit__(*error)

    def settings(self):
        return self.deployment.path("settings.toml")

    def start(self, blocked=False):
        del blocked
        self.deployment.start_node("montreal-1")

    def stop(self):
        self.deployment.nodes["montreal-1"].stop()

    def process(self):
        return self.deployment.nodes["montreal-1"].process

    def is_ready(self):
        return self.deployment.health("montreal-1") == 200

    def has_handled_reload(self):
        with open(self.deployment.path("montreal-1.log"), "rb") as log:
            return b"signal 1:" in log.read()


class Signals:
    """Tests of both modes; subclasses set mode."""

    def wait_ready(self, vm):
        wait_for(lambda: vm.is_ready() or vm.process().poll() is not None,
                 "a process that is ready, or has ended")
        self.assertIsNone(vm.process().poll())

    def start_blocked(self, vm):
        blocked = BlockedStart(vm.settings())
        vm.start(blocked=True)
        blocked.reach_main()
        return blocked

    # Guards against a SIGHUP between the beginning of main and readiness that
    # kills the process or is lost.
    def test_reloads_during_startup_are_handled(self):
        with self.mode() as vm:
            blocked = self.start_blocked(vm)
            flood = SignalFlood(vm.process(), signal.SIGHUP)
            blocked.unblock()
            self.wait_ready(vm)
            flood.stop_sending()
            wait_for(vm.has_handled_reload, "the reload")
            vm.process().send_signal(signal.SIGTERM)
            self.assertEqual(vm.process().wait(30), 0)

    # Guards against losing a single SIGHUP during startup.
    def test_a_single_reload_during_startup_is_handled(self):
        with self.mode() as vm:
            blocked = self.start_blocked(vm)
            vm.process().send_signal(signal.SIGHUP)
            blocked.unblock()
            self.wait_ready(vm)
            wait_for(vm.has_handled_reload, "the reload")
            vm.process().send_signal(signal.SIGTERM)
            self.assertEqual(vm.process().wait(30), 0)

    # Guards against a stop during startup with a status other than 0.
    def test_a_stop_during_startup_is_graceful(self):
        for number in (signal.SIGTERM, signal.SIGINT):
            with self.subTest(number), self.mode() as vm:
                blocked = self.start_blocked(vm)
                vm.process().send_signal(number)
                blocked.unblock()
                self.assertEqual(vm.process().wait(30), 0)

    # Guards against a SIGHUP or a further SIGTERM that kills a stopping
    # process after it has removed its handlers.
    def test_signals_during_a_stop_have_no_effect(self):
        with self.mode() as vm:
            vm.start()
            self.wait_ready(vm)
            vm.process().send_signal(signal.SIGTERM)
            flood = SignalFlood(vm.process(), signal.SIGHUP, signal.SIGTERM)
            self.addCleanup(flood.stop_sending)
            self.assertEqual(vm.process().wait(30), 0)

    # Guards against a process that inherits a mask of blocked signals and does
    # not unblock them.
    def test_signals_blocked_by_the_parent_are_handled(self):
        numbers = (signal.SIGHUP, signal.SIGTERM)
        with self.mode() as vm:
            with block_signals(*numbers):
                vm.start()
            vm.process().send_signal(signal.SIGHUP)
            self.wait_ready(vm)
            wait_for(vm.has_handled_reload, "the reload")
            vm.process().send_signal(signal.SIGTERM)
            self.assertEqual(vm.process().wait(30), 0)


class PlatformSignals(Signals, unittest.TestCase):
    mode = PlatformMode

    # Guards against a flood of reloads that keeps the process from its
    # requests and timers, and fills the log.
    def test_a_flood_of_reloads_is_one_reload_a_second(self):
        with self.mode() as vm:
            vm.start()
            self.wait_ready(vm)
            floods = [SignalFlood(vm.process(), signal.SIGHUP)
                      for _ in range(FLOODS)]
            for flood in floods:
                self.addCleanup(flood.stop_sending)
            times = []
            while len(times) < 4:
                self.assertEqual(vm.vm.request().status, 200)
                times = [parse_time(line) for line in
                         vm.vm.find_lines("process.reload")]
            for before, after in zip(times, times[1:]):
                self.assertGreaterEqual(after - before, RELOAD_GAP_S)
            vm.process().send_signal(signal.SIGTERM)
            self.assertEqual(vm.process().wait(30), 0)


class StandaloneSignals(Signals, unittest.TestCase):
    mode = StandaloneMode


if __name__ == "__main__":
    unittest.main()
