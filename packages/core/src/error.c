#include "sas/error.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

void
SasError_Set(struct sas_error *error, enum sas_error_code code,
             const char *step, const char *peer, const char *format, ...)
{
    if (error == NULL) {
        return;
    }
    error->code = code;
    snprintf(error->step, sizeof(error->step), "%s", step);
    snprintf(error->peer, sizeof(error->peer), "%s", peer ? peer : "");
    va_list arguments;
    va_start(arguments, format);
    vsnprintf(error->text, sizeof(error->text), format, arguments);
    va_end(arguments);
}

void
SasError_Clear(struct sas_error *error)
{
    memset(error, 0, sizeof(*error));
}

const char *
SasError_GetName(enum sas_error_code code)
{
    switch (code) {
    case SAS_OK:
        return "ok";
    case SAS_EINVAL:
        return "invalid";
    case SAS_EIO:
        return "io";
    case SAS_ETIMEOUT:
        return "timeout";
    case SAS_ECONFLICT:
        return "conflict";
    case SAS_ENOTFOUND:
        return "not-found";
    case SAS_ECAPACITY:
        return "capacity";
    case SAS_EAUTH:
        return "unauthorized";
    case SAS_EUNAVAILABLE:
        return "unavailable";
    }
    return "unknown";
}
