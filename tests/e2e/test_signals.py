#!/usr/bin/python3
"""Signals at any moment from main's first step to the process's end."""

import errno
import os
import shutil
import threading
import unittest

from entry_harness import Fleet, hold_signals, signal, time, wait_for
from harness import Deployment

GAP_S = 0.0001  # between two signals


class Storm(threading.Thread):
    """Sends the signals to a process in turn, until it has ended or quit() is
    called."""

    def __init__(self, process, *numbers):
        super().__init__()
        self.process = process
        self.numbers = numbers
        self.over = False
        self.start()

    def run(self):
        while not self.over and self.process.poll() is None:
            for number in self.numbers:
                self.process.send_signal(number)
            time.sleep(GAP_S)

    def quit(self):
        self.over = True
        self.join()


class HeldStart:
    """The settings are a pipe: the process stands still in main, right after
    its first steps, until let_go()."""

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
        """Nobody can write to a pipe that isn't open at its other end."""
        try:
            self.pipe = os.open(self.path, os.O_WRONLY | os.O_NONBLOCK)
        except OSError as error:
            if error.errno != errno.ENXIO:
                raise
        return self.pipe is not None

    def let_go(self):
        """From now on the path is a file, as it was."""
        with open(self.path + ".new", "wb") as file:
            file.write(self.text)
        shutil.move(self.path + ".new", self.path)
        try:
            os.write(self.pipe, self.text)
        except BrokenPipeError:
            pass  # the process has ended; the test sees that
        os.close(self.pipe)


class Entry:
    """One entry VM on the users' platform."""

    def __init__(self):
        self.fleet = Fleet(vms=("a",))
        self.vm = self.fleet.vms[0]

    def __enter__(self):
        self.fleet.__enter__()
        self.fleet.add_worker("d1")
        self.fleet.start()
        self.stop()
        return self

    def __exit__(self, *problem):
        self.fleet.__exit__(*problem)

    def settings(self):
        return self.vm.settings_path

    def start(self, held=False):
        """With held, the settings are not written anew over the pipe."""
        if held:
            self.vm.start_again()
        else:
            self.vm.start()

    def stop(self):
        self.vm.stop()

    def process(self):
        return self.vm.process

    def is_ready(self):
        return self.vm.is_ready()

    def has_taken_reload(self):
        return bool(self.vm.find_lines("process.reload"))


class Node:
    """One entry VM in the project's own mode, which has nothing to reload."""

    def __init__(self):
        self.deployment = Deployment(regions=("montreal",), vms=1,
                                     limits={"drain_notice_ms": 300})

    def __enter__(self):
        self.deployment.__enter__()
        self.stop()
        return self

    def __exit__(self, *problem):
        self.deployment.__exit__(*problem)

    def settings(self):
        return self.deployment.path("settings.toml")

    def start(self, held=False):
        del held
        self.deployment.start_node("montreal-1")

    def stop(self):
        self.deployment.nodes["montreal-1"].stop()

    def process(self):
        return self.deployment.nodes["montreal-1"].process

    def is_ready(self):
        return self.deployment.health("montreal-1") == 200

    def has_taken_reload(self):
        with open(self.deployment.path("montreal-1.log"), "rb") as log:
            return b"signal 1:" in log.read()


class Signals:
    """Both modes."""

    def wait_ready(self, vm):
        wait_for(lambda: vm.is_ready() or vm.process().poll() is not None,
                 "a process that is ready, or has ended")
        self.assertIsNone(vm.process().poll())

    def start_held(self, vm):
        held = HeldStart(vm.settings())
        vm.start(held=True)
        held.reach_main()
        return held

    # Guards against a hang-up that ends a process which has just been started,
    # or is lost: from main's first step on until it is ready.
    def test_a_reload_while_it_starts_is_taken(self):
        with self.mode() as vm:
            held = self.start_held(vm)
            storm = Storm(vm.process(), signal.SIGHUP)
            held.let_go()
            self.wait_ready(vm)
            storm.quit()
            wait_for(vm.has_taken_reload, "the reload")
            vm.process().send_signal(signal.SIGTERM)
            self.assertEqual(vm.process().wait(30), 0)

    # Guards against a single hang-up in the start that is lost.
    def test_one_reload_while_it_starts_is_taken(self):
        with self.mode() as vm:
            held = self.start_held(vm)
            vm.process().send_signal(signal.SIGHUP)
            held.let_go()
            self.wait_ready(vm)
            wait_for(vm.has_taken_reload, "the reload")
            vm.process().send_signal(signal.SIGTERM)
            self.assertEqual(vm.process().wait(30), 0)

    # Guards against a stop in the start that ends the process as a failure.
    def test_a_stop_while_it_starts_is_graceful(self):
        for number in (signal.SIGTERM, signal.SIGINT):
            with self.subTest(number), self.mode() as vm:
                held = self.start_held(vm)
                vm.process().send_signal(number)
                held.let_go()
                self.assertEqual(vm.process().wait(30), 0)

    # Guards against a hang-up, or a further stop, that ends a process which is
    # stopping as a failure: its handlers go before it does.
    def test_signals_until_the_end_of_a_stop_change_nothing(self):
        with self.mode() as vm:
            vm.start()
            self.wait_ready(vm)
            vm.process().send_signal(signal.SIGTERM)
            storm = Storm(vm.process(), signal.SIGHUP, signal.SIGTERM)
            self.addCleanup(storm.quit)
            self.assertEqual(vm.process().wait(30), 0)

    # Guards against a process that keeps the signals blocked which whoever
    # started it had blocked.
    def test_signals_that_were_blocked_at_the_start_are_taken(self):
        numbers = (signal.SIGHUP, signal.SIGTERM)
        with self.mode() as vm:
            with hold_signals(*numbers):
                vm.start()
            vm.process().send_signal(signal.SIGHUP)
            self.wait_ready(vm)
            wait_for(vm.has_taken_reload, "the reload")
            vm.process().send_signal(signal.SIGTERM)
            self.assertEqual(vm.process().wait(30), 0)


class EntrySignals(Signals, unittest.TestCase):
    mode = Entry


class NodeSignals(Signals, unittest.TestCase):
    mode = Node


if __name__ == "__main__":
    unittest.main()
