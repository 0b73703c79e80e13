#include "signals.h"

#include <signal.h>

static void
change(int how)
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGHUP);
    pthread_sigmask(how, &set, NULL);
}

void
SasSignals_Hold(void)
{
    change(SIG_BLOCK);
}

void
SasSignals_Release(void)
{
    change(SIG_UNBLOCK);
}
