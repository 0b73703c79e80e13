"""Ramps: shares rise evenly, go on hold when necessary, survive restarts."""

import unittest

from harness import Deployment, wait_until


class RampsTest(unittest.TestCase):

    def share(self, d, vm):
        rows = d.status(vm)["shifts"]
        return rows[0]["in_force_percent"] if rows else 0

    # An entry VM is replaced during a ramp. It must neither send shifted
    # callers back to their home region, whose caches are cold by now, nor get
    # ahead of the ramp.
    def test_a_replaced_entry_vm_continues_at_its_peers_share(self):
        with Deployment(vms=1) as d:
            d.put_sheet("montreal-1", [
                "+0,dossiers,montreal,quebec,100%,,,ramp=100"])
            d.wait_version(1)
            wait_until(lambda: self.share(d, "montreal-1") > 15,
                       "the ramp is under way")
            d.restart("quebec-1")
            before = self.share(d, "montreal-1")
            wait_until(lambda: self.share(d, "quebec-1") >= before - 1,
                       "it has its peer's share")
            # A restart of the ramp from 0 would have taken as long as
            # montreal-1 needs for 15 more points.
            self.assertLess(self.share(d, "montreal-1"), before + 8)
            self.assertLessEqual(self.share(d, "quebec-1"),
                                 self.share(d, "montreal-1") + 2)

    # The target's backend servers refuse connections, so that its load is
    # unknown: the ramp must go on hold and report the reason.
    def test_a_ramp_is_on_hold_without_measurements(self):
        with Deployment(vms=1) as d:
            d.put_sheet("montreal-1", [
                "+0,dossiers,montreal,quebec,100%,,,ramp=60"])
            d.wait_version(1)
            wait_until(lambda: self.share(d, "montreal-1") > 2, "it rises")
            d.control_backends("dossiers-quebec-*", refuse=True)
            wait_until(lambda: d.status("montreal-1")["shifts"][0]["holding"],
                       "the reason of the hold")
            self.assertIn(d.status("montreal-1")["shifts"][0]["holding"],
                          ("measurements-old", "region-gone"))
            answer = d.request("montreal-1", "/s/dossiers/x")
            self.assertEqual((answer.status, answer.region),
                             (200, "montreal"))


if __name__ == "__main__":
    unittest.main()
