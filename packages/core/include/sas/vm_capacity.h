/* vm_capacity - the capacity of entry VMs, and which of them a lookup returns.
 *
 * Entry VMs may be of different sizes. In a zone with two links of 200 Mbit/s
 * and ten of 10 Mbit/s, a body of 60 kB takes a tenth of a second through a
 * small link, twice the service time of a cached object. Callers choose evenly
 * among the addresses that a lookup returns, so it returns only entry VMs with
 * a capacity close to the largest one.
 */
#ifndef SAS_VM_CAPACITY_H
#define SAS_VM_CAPACITY_H

/* A request takes 0.10 ms of processor time, including its log line, and about
 * 10 kB on the link, in and out. */
#define SasVmCapacity_REQUESTS_PER_CORE 10000.0
#define SasVmCapacity_REQUESTS_PER_MBIT 12.5

/* An entry VM with at least this part of the largest capacity is returned. */
#define SasVmCapacity_SHARE 0.5

/* A zone or region of whose capacity less than this part is left can't serve
 * its callers: lookups return entry VMs farther away. */
#define SasVmCapacity_MIN_REMAINING 0.25

/* Fewest entry VMs that a lookup returns: with one, its failure would leave
 * callers without an address. */
#define SasVmCapacity_MIN_RETURNED 2

/* Capacity, in requests per second, of a share of a core and a link. */
double SasVmCapacity_Estimate(double cores, double link_mbps);

/* Picks among count entry VMs by capacity. Fills picked with at most max of
 * their indices, the largest capacity first, and returns their number. */
int SasVmCapacity_Pick(const double *capacities, int count, int *picked,
                       int max);

#endif
