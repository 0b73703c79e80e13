/* samples - one valid message of each procedure and direction. */
#ifndef SAS_SAMPLES_H
#define SAS_SAMPLES_H

#include "sas/proto.h"

#define SAMPLE_COUNT 16

/* Returns sample `index`; the call of a procedure is followed by its reply.
 * The lists that it points to are static. */
struct sas_proto_message Sample_Get(int index);

#endif
