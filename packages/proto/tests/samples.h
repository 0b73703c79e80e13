/* samples - one filled-in message of each procedure and direction. */
#ifndef SAS_SAMPLES_H
#define SAS_SAMPLES_H

#include "sas/proto.h"

#define SAMPLE_COUNT 16

/* Sample `index`; the lists it points to are static. */
struct sas_proto_message Sample_Get(int index);

#endif
