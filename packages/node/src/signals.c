#include "signals.h"

#include <signal.h>

static void
change_mask(int how)
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGHUP);
    pthread_sigmask(how, &set, NULL);
}

void
SasSignals_Block(void)
{
    change_mask(SIG_BLOCK);
}

void
SasSignals_Unblock(void)
{
    change_mask(SIG_UNBLOCK);
}
