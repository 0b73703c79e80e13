"""Ramps: a share rises evenly, waits when it must, and survives restarts."""

import unittest

from harness import Deployment, wait_until


class RampsTest(unittest.TestCase):

    def share(self, d, vm):
        rows = d.status(vm)["shifts"]
        return rows[0]["in_force_percent"] if rows else 0

    # An entry VM is replaced in the middle of a long ramp. It must not send
    # the callers that were shifted already home again, onto caches that are
    # cold by now, nor jump ahead of the ramp.
    def test_a_replaced_entry_vm_goes_on_where_its_peers_are(self):
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
            # Rising from 0 by the ramp alone would have taken 15 points of
            # montreal-1's own way.
            self.assertLess(self.share(d, "montreal-1"), before + 8)
            self.assertLessEqual(self.share(d, "quebec-1"),
                                 self.share(d, "montreal-1") + 2)

    # The target's backend servers stop answering probes: nobody knows its
    # load any more, and the ramp must wait and say so.
    def test_a_ramp_waits_without_measurements(self):
        with Deployment(vms=1) as d:
            d.put_sheet("montreal-1", [
                "+0,dossiers,montreal,quebec,100%,,,ramp=60"])
            d.wait_version(1)
            wait_until(lambda: self.share(d, "montreal-1") > 2, "it rises")
            d.control_backends("dossiers-quebec-*", refuse=True)
            wait_until(lambda: d.status("montreal-1")["shifts"][0]["holding"],
                       "it says why it waits")
            self.assertIn(d.status("montreal-1")["shifts"][0]["holding"],
                          ("measurements-old", "region-gone"))
            answer = d.request("montreal-1", "/s/dossiers/x")
            self.assertEqual((answer.status, answer.region),
                             (200, "montreal"))


if __name__ == "__main__":
    unittest.main()
