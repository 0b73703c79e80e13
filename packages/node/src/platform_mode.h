/* live - an entry VM on the users' platform: everything beyond its own
 * addresses is learned at run time.
 *
 * From the environment, since the platform keeps no files for a process:
 *   SASSAFRASSILL_OPERATOR_TOKEN   operators' token; without it the admin port
 *                                  takes no changes
 *   SASSAFRASSILL_PEER_KEY         shared by all entry VMs; without it what
 *                                  they tell each other is not proved
 *   SASSAFRASSILL_CLOCK_OFFSET_MS  for tests: so much the time of day is ahead
 */
#ifndef SAS_PLATFORM_MODE_H
#define SAS_PLATFORM_MODE_H

#include <stdbool.h>

/* Runs until it is stopped; with check the settings are only checked. Gives
 * the exit status: 0 stopped, 1 could not start, 2 wrong settings. */
int SasPlatformMode_Run(const char *settings_path, bool check);

#endif
