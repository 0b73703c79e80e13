#include "fuzz_proto.h"

#include <glib.h>
#include <string.h>

#include "sas/proto.h"
#include "sas/record.h"

#define SAS_FUZZ_RECORD_LIMIT 4096 /* bytes */
#define REPLY_BIT 0x80

static const struct sas_proto_session session;

static struct sas_proto_key *
get_key(void)
{
    static struct sas_proto_key *key;
    if (key == NULL) {
        key = SasProto_NewKey((const uint8_t *)"fuzz fuzz fuzz f", 16, NULL);
    }
    return key;
}

static void
read_stream(const uint8_t *data, size_t size)
{
    struct sas_record_reader reader;
    SasRecord_InitReader(&reader, SAS_FUZZ_RECORD_LIMIT);
    while (size > 0) {
        size_t used = 0;
        int result = SasRecord_Feed(&reader, data, size, &used);
        g_assert(used > 0 && used <= size);
        g_assert(reader.size <= SAS_FUZZ_RECORD_LIMIT);
        if (result < 0) {
            break;
        }
        data += used;
        size -= used;
    }
    SasRecord_CloseReader(&reader);
}

static void
decode(struct sas_proto_message *message)
{
    if (SasProto_Decode(message, NULL) == 0) {
        SasProto_FreeBody(message);
    }
}

static void
open_message(uint8_t procedure, const uint8_t *data, size_t size)
{
    struct sas_proto_message message;
    g_autofree uint8_t *record = g_malloc(size + SasProto_MAC_SIZE);
    memcpy(record, data, size);
    SasProto_ComputeMac(get_key(), &session, record, size, record + size);
    if (SasProto_Authenticate(get_key(), &session, record,
                              size + SasProto_MAC_SIZE, &message, NULL) < 0) {
        return;
    }
    if (message.is_reply) {
        message.procedure = procedure;
    }
    decode(&message);
}

static void
decode_body(uint8_t selector, const uint8_t *data, size_t size)
{
    struct sas_proto_message message = {
        .is_reply = (selector & REPLY_BIT) != 0,
        .procedure = selector & ~(unsigned)REPLY_BIT,
        .encoded_body = data,
        .encoded_size = size,
    };
    decode(&message);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    if (size < 2) {
        return 0;
    }
    if (data[0] == 0) {
        read_stream(data + 1, size - 1);
    }
    else if (data[0] == 1) {
        open_message(data[1], data + 2, size - 2);
    }
    else {
        decode_body(data[1], data + 2, size - 2);
    }
    return 0;
}
