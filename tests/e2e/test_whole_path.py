"""The complete path, as separate processes: sheet, lookup, request, answer."""

import unittest

from harness import Deployment


class WholePathTest(unittest.TestCase):

    def test_a_sheet_steers_callers_to_its_region(self):
        with Deployment(vms=2) as d:
            source = d.caller_ip("montreal")
            before = d.request("montreal-1", "/s/dossiers/file/7?bytes=5000")
            self.assertEqual(before.status, 200)
            self.assertEqual(before.region, "montreal")
            self.assertEqual(len(before.body), 5000)

            put = d.put_sheet("montreal-1",
                              ["+0,dossiers,montreal,quebec,100%,,,"])
            self.assertEqual(put.status, 200, put.body)
            version = put.json()["version"]
            self.assertEqual(version, 1)
            d.wait_version(version)

            looked_up = d.lookup("quebec-2", "dossiers", source)
            self.assertEqual(looked_up.json()["region"], "quebec")
            vm = looked_up.json()["vms"][0]["name"]
            after = d.request(vm, "/s/dossiers/file/7?bytes=100",
                              source=source)
            self.assertEqual(after.status, 200)
            self.assertEqual(after.region, "quebec")

    def test_bodies_arrive_completely(self):
        with Deployment(regions=("montreal",), vms=1) as d:
            body = bytes(range(256)) * 20000
            answer = d.request("montreal-1", "/s/dossiers/photo", "POST",
                               body)
            self.assertEqual(answer.status, 200)
            self.assertEqual(answer.json()["body_bytes"], len(body))
            large = d.request("montreal-1", "/s/dossiers/x?bytes=3000000")
            self.assertEqual(len(large.body), 3000000)


if __name__ == "__main__":
    unittest.main()
