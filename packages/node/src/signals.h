/* signals - blocks SIGTERM, SIGINT and SIGHUP until their handlers are set.
 *
 * Unhandled, each of them ends the process. Block keeps them pending: main
 * calls it first, and a mode again before it closes the loop's handlers.
 * Unblock delivers them, also those that the parent process had blocked; it
 * is called once the handlers are set. Threads started in between keep them
 * blocked, so that the loop's thread receives them.
 */
#ifndef SAS_SIGNALS_H
#define SAS_SIGNALS_H

void SasSignals_Block(void);
void SasSignals_Unblock(void);

#endif
