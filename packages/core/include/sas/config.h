/* config - immutable configuration versions, encoded as JSON or as a delta.
 *
 * A version is reference-counted with SasConfig_Ref and SasConfig_Unref, both
 * callable from any thread. docs/SHEET.md defines the JSON format. Names are
 * resolved against the model, so a reader needs a model that has them all.
 * The decoder rejects what SasSheet_Check rejects, unknown or repeated fields
 * and more than SasConfig_MAX_BYTES.
 *
 * A delta rebuilds a version from an older one. It names the digests of the
 * base and of the result. Applied to another base it fails with
 * SAS_ECONFLICT; the caller then requests the full configuration.
 */
#ifndef SAS_CONFIG_H
#define SAS_CONFIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "sas/error.h"
#include "sas/model.h"
#include "sas/sheet.h"

#define SasConfig_NAME_SIZE 65 /* of operation and operator, with the NUL */
#define SasConfig_MAX_BYTES (16 * 1024 * 1024)
#define SasConfig_MAX_VERSION INT64_C(9007199254740991) /* 2^53 - 1 */

struct sas_config {
    int64_t version; /* from 1 up; only rises */
    char operation[SasConfig_NAME_SIZE];
    char operator_name[SasConfig_NAME_SIZE];
    int64_t accepted_ms; /* since the epoch */
    struct sas_sheet sheet;
    char *sheet_text; /* CSV */
};

/* Returns a version with one reference. Moves the rows of *sheet into it,
 * which leaves *sheet empty, and copies the texts. Returns NULL with
 * SAS_EINVAL, and *sheet untouched, when a text or number is out of range. */
struct sas_config *SasConfig_New(int64_t version, const char *operation,
                                 const char *operator_name,
                                 int64_t accepted_ms, struct sas_sheet *sheet,
                                 const char *sheet_text,
                                 struct sas_error *error);
struct sas_config *SasConfig_Ref(struct sas_config *config);
void SasConfig_Unref(struct sas_config *config); /* NULL is allowed */

/* Returns a new version: `base` (NULL: an empty sheet) with one more drain
 * row, for a backend server or an entry VM, in force from now_ms on. Times
 * that base has resolved stay as they are. NULL with SAS_EINVAL when the name
 * is unknown, the drain would leave no server or entry VM, or the sheet is
 * full. */
struct sas_config *SasConfig_AddDrain(const struct sas_config *base,
                                      const struct sas_model *model,
                                      const char *target, int64_t version,
                                      const char *operation,
                                      const char *operator_name,
                                      int64_t now_ms, struct sas_error *error);

/* True when a node at version `current` (0: none) may adopt `offered`: only
 * higher versions, whatever their source. */
bool SasConfig_MayReplace(int64_t current, int64_t offered);

/* Returns JSON text, which the caller releases with free(). */
char *SasConfig_Encode(const struct sas_config *config,
                       const struct sas_model *model);

/* Returns NULL with SAS_EINVAL when the text is not a valid version. */
struct sas_config *SasConfig_Decode(const struct sas_model *model,
                                    const char *text, size_t size,
                                    struct sas_error *error);

/* xxHash of the JSON text, so equal on all nodes for the same version. */
uint64_t SasConfig_GetDigest(const struct sas_config *config,
                             const struct sas_model *model);

/* Returns the delta from `base` to `config`, released with free(). */
char *SasConfig_EncodeDelta(const struct sas_config *base,
                            const struct sas_config *config,
                            const struct sas_model *model);

/* Returns the version that the delta makes of `base`, which stays as it is.
 * NULL with SAS_ECONFLICT for a delta from another base, or SAS_EINVAL for a
 * malformed delta or one whose result has another digest than it states. */
struct sas_config *SasConfig_ApplyDelta(const struct sas_config *base,
                                        const struct sas_model *model,
                                        const char *text, size_t size,
                                        struct sas_error *error);

#endif
