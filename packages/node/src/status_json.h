/* status_json - rows of /v1/status that both modes of the daemon share.
 */
#ifndef SAS_STATUS_JSON_H
#define SAS_STATUS_JSON_H

#include <jansson.h>

#include "sas/model.h"
#include "sas/plan.h"

/* headroom: free share of the region's execution slots, 0 to 1. */
json_t *SasStatusJson_DescribeRegion(const struct sas_model *model,
                                     int service, int region, double headroom);
json_t *SasStatusJson_DescribeShift(const struct sas_model *model,
                                    const struct sas_shift *shift);

#endif
