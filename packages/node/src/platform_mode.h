/* platform_mode - an entry VM in platform mode: it knows its own addresses and
 * discovers everything else at run time.
 *
 * Environment variables, since the platform keeps no files for a process:
 *   SASSAFRASSILL_OPERATOR_TOKEN   operators' bearer token; without it the
 *                                  admin port refuses changes
 *   SASSAFRASSILL_PEER_KEY         shared by all entry VMs; without it their
 *                                  messages are not authenticated
 *   SASSAFRASSILL_CLOCK_OFFSET_MS  for tests: milliseconds that the wall clock
 *                                  is ahead
 */
#ifndef SAS_PLATFORM_MODE_H
#define SAS_PLATFORM_MODE_H

#include <stdbool.h>

/* Runs until it is stopped; with check only checks the settings. Returns the
 * exit status: 1 could not start, 2 wrong settings, else SasGateway_Run's. */
int SasPlatformMode_Run(const char *settings_path, bool check);

#endif
