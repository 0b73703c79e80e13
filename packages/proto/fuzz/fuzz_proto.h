/* fuzz_proto - one fuzzer input through the decoders.
 *
 * The first byte chooses: 0 a stream for the record reader, 1 a message
 * whose digest is right, otherwise a body; the second byte is the procedure
 * of a reply, or procedure and direction of a body.
 */
#ifndef SAS_FUZZ_PROTO_H
#define SAS_FUZZ_PROTO_H

#include <stddef.h>
#include <stdint.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

#endif
