/* strength - what an entry VM can carry, and which of several callers should
 * be sent to.
 *
 * Entry VMs may be of different sizes: in a zone with two links of 200 Mbit/s
 * and ten of 10 Mbit/s a photo of 60 kB spends a tenth of a second on the way
 * through a small one, twice what its server needs when it knows the object.
 * Callers pick evenly among the addresses that they are given, so a look-up
 * names only those that are about as strong as the strongest.
 */
#ifndef SAS_STRENGTH_H
#define SAS_STRENGTH_H

/* A request takes 0.10 ms of processor time, its log line included, and some
 * 10 kB on the link, in and out. */
#define SasStrength_REQUESTS_PER_CORE 10000.0
#define SasStrength_REQUESTS_PER_MBIT 12.5

/* A part of the strongest that still counts as about as strong. */
#define SasStrength_SHARE 0.5

/* A zone, or region, of which less than this part is left can't serve its
 * callers: they are sent farther. */
#define SasStrength_LEAST_LEFT 0.25

/* With fewer names than this a single loss leaves callers nowhere to go. */
#define SasStrength_MIN_NAMED 2

/* Requests a second that fit through a share of a core and a link. */
double SasStrength_Estimate(double cores, double link_mbps);

/* Which of count entry VMs to name: fills in their indices, strongest first;
 * how many. At most max. */
int SasStrength_Pick(const double *strengths, int count, int *picked, int max);

#endif
