/* fuzz_proto - runs one fuzzer input through the decoders.
 *
 * The first byte selects the target: 0: a byte stream for the record reader;
 * 1: a message, to which a valid HMAC is added; otherwise a message body. For
 * a message the second byte is the procedure, used if it is a reply; for a
 * body it is the procedure, with the top bit set for a reply. Inputs of less
 * than two bytes are ignored.
 */
#ifndef SAS_FUZZ_PROTO_H
#define SAS_FUZZ_PROTO_H

#include <stddef.h>
#include <stdint.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

#endif
