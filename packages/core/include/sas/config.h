/* config - one accepted version of the configuration, as JSON and as a delta.
 *
 * A version is immutable and shared by reference: SasConfig_Ref and
 * SasConfig_Unref, from any thread. Text in and out is JSON as docs/SHEET.md
 * states it; names are resolved against the model, so both sides need the
 * same settings. A decoder takes nothing that SasSheet_Check would refuse, no
 * unknown or repeated field and no more than SasConfig_MAX_BYTES.
 *
 * A delta rebuilds a version from an older one. It names the digest of the
 * base and of the result; on another base it is refused with SAS_ECONFLICT,
 * and the caller then asks for the whole.
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
#define SasConfig_MAX_NUMBER INT64_C(9007199254740991) /* 2^53 - 1 */

struct sas_config {
    int64_t number; /* 1 and up; only rises */
    char operation[SasConfig_NAME_SIZE];
    char operator_name[SasConfig_NAME_SIZE];
    int64_t accepted_ms;
    struct sas_sheet sheet;
    char *sheet_text;
};

/* A version with one reference. Takes over the rows of *sheet, which is
 * empty afterwards, and copies the texts. NULL when a text or number is out
 * of bounds; *sheet is then untouched. */
struct sas_config *SasConfig_New(int64_t number, const char *operation,
                                 const char *operator_name,
                                 int64_t accepted_ms, struct sas_sheet *sheet,
                                 const char *sheet_text,
                                 struct sas_error *error);
struct sas_config *SasConfig_Ref(struct sas_config *config);
void SasConfig_Unref(struct sas_config *config); /* NULL is allowed */

/* The version after `base` (NULL for none yet) with one more drain row, for
 * a backend server or an entry VM from now_ms on; times that base resolved
 * stay as they are. NULL and *error when it can't be. */
struct sas_config *SasConfig_AddDrain(const struct sas_config *base,
                                      const struct sas_model *model,
                                      const char *target, int64_t number,
                                      const char *operation,
                                      const char *operator_name,
                                      int64_t now_ms, struct sas_error *error);

/* True when a node at version `current` (0 for none) may adopt `offered`:
 * higher ones only, whoever offers. */
bool SasConfig_MayReplace(int64_t current, int64_t offered);

/* JSON text, which the caller frees with free(). */
char *SasConfig_Encode(const struct sas_config *config,
                       const struct sas_model *model);

/* NULL and *error when the text is not a valid version. */
struct sas_config *SasConfig_Decode(const struct sas_model *model,
                                    const char *text, size_t size,
                                    struct sas_error *error);

/* The same on all nodes for the same version (xxhash of the JSON text). */
uint64_t SasConfig_GetDigest(const struct sas_config *config,
                             const struct sas_model *model);

/* What turns `base` into `config`; the caller frees it with free(). */
char *SasConfig_EncodeDelta(const struct sas_config *base,
                            const struct sas_config *config,
                            const struct sas_model *model);

/* The version that the delta makes of `base`, which stays as it is. */
struct sas_config *SasConfig_ApplyDelta(const struct sas_config *base,
                                        const struct sas_model *model,
                                        const char *text, size_t size,
                                        struct sas_error *error);

#endif
