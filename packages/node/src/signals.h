/* signals - SIGTERM, SIGINT and SIGHUP while nobody takes them.
 *
 * Without a handler each of them ends the process. Hold keeps them pending:
 * main's first step, and again before a loop's handlers are closed. Release
 * lets them come, whoever held them before, and is called once the handlers
 * stand. Threads that are started in between hold them for good, so that they
 * come to the loop's thread.
 */
#ifndef SAS_SIGNALS_H
#define SAS_SIGNALS_H

void SasSignals_Block(void);
void SasSignals_Unblock(void);

#endif
