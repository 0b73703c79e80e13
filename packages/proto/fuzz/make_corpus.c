/* make_corpus - writes the seeds of fuzz_proto into the folder argv[1]: each
 * sample as a stream, as a message and as a body. */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "../tests/samples.h"
#include "sas/record.h"

/* target and selector are the first and second byte of the input; a negative
 * selector is left out. */
static void
write_seed(const char *folder, const char *kind, int index, uint8_t target,
           int selector, const uint8_t *data, size_t size)
{
    g_autofree char *path =
        g_strdup_printf("%s/seed-%s-%02d", folder, kind, index);
    g_autoptr(GByteArray) bytes = g_byte_array_new();
    uint8_t selector_byte = (uint8_t)selector;
    g_byte_array_append(bytes, &target, 1);
    if (selector >= 0) {
        g_byte_array_append(bytes, &selector_byte, 1);
    }
    g_byte_array_append(bytes, data, (guint)size);
    if (!g_file_set_contents(path, (char *)bytes->data, bytes->len, NULL)) {
        fprintf(stderr, "can't write %s\n", path);
    }
}

int
main(int argc, char **argv)
{
    struct sas_proto_session session;
    if (argc != 2) {
        fprintf(stderr, "usage: make_corpus FOLDER\n");
        return 2;
    }
    memset(&session, 0, sizeof(session));
    struct sas_proto_key *key =
        SasProto_NewKey((const uint8_t *)"fuzz fuzz fuzz f", 16, NULL);
    for (int i = 0; i < SAMPLE_COUNT; i++) {
        struct sas_proto_message sample = Sample_Get(i);
        size_t size = 0;
        size_t body_size = 0;
        g_autofree uint8_t *record =
            SasProto_Encode(key, &session, &sample, &size, NULL);
        g_autofree uint8_t *body =
            SasProto_EncodeBody(&sample, &body_size, NULL);
        int selector = (int)sample.procedure;
        write_seed(argv[1], "stream", i, 0, -1, record, size);
        write_seed(argv[1], "message", i, 1, selector,
                   record + SasRecord_MARK_SIZE,
                   size - SasRecord_MARK_SIZE - SasProto_MAC_SIZE);
        selector |= sample.is_reply ? 0x80 : 0;
        write_seed(argv[1], "body", i, 2, selector, body, body_size);
    }
    SasProto_FreeKey(key);
    return 0;
}
