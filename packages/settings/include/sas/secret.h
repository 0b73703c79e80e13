/* secret - a shared key or a token, read from a file of its own.
 *
 * The file holds the secret on its first line; white space at the end is cut
 * off. It may not be readable by everybody, be empty, shorter than
 * SasSecret_MIN_SIZE or longer than SasSecret_MAX_SIZE.
 */
#ifndef SAS_SECRET_H
#define SAS_SECRET_H

#include "sas/error.h"

#define SasSecret_MIN_SIZE 16
#define SasSecret_MAX_SIZE 1024

/* The secret, to be released with SasSecret_Free; NULL with an error. */
char *SasSecret_Load(const char *path, struct sas_error *error);

/* Overwrites the secret before its memory goes back; NULL is allowed. */
void SasSecret_Free(char *secret);

#endif
