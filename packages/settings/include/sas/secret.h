/* secret - loads a shared key or a token from a file.
 *
 * The file holds the secret on one line; trailing white space is stripped. The
 * secret is SasSecret_MIN_SIZE to SasSecret_MAX_SIZE bytes long. The file must
 * be a regular one and not world-readable.
 */
#ifndef SAS_SECRET_H
#define SAS_SECRET_H

#include "sas/error.h"

/* Bytes, without trailing white space. */
#define SasSecret_MIN_SIZE 16
#define SasSecret_MAX_SIZE 1024

/* Returns the secret, to be released with SasSecret_Free, or NULL with an
 * error: SAS_EIO (can't be read, not a regular file), SAS_EAUTH
 * (world-readable) or SAS_EINVAL (size, more than one line). */
char *SasSecret_Load(const char *path, struct sas_error *error);

/* Overwrites the secret with zeros and frees it; NULL is allowed. */
void SasSecret_Free(char *secret);

#endif
