/* Functions that the property test of answers calls through ctypes. */
#include <stdint.h>

#include <glib.h>

#include "sas/http_answer.h"

struct answer_rig {
    struct sas_http_answer answer;
    GString *body;
    GString *fields; /* of the last head: "name:value" and LF for each */
    int heads;
    size_t left; /* bytes behind the end of the answer */
};

struct answer_rig *
SasShim_NewAnswer(int to_head)
{
    struct answer_rig *rig = g_new0(struct answer_rig, 1);
    SasHttpAnswer_Init(&rig->answer);
    SasHttpAnswer_Begin(&rig->answer, to_head != 0);
    rig->body = g_string_new(NULL);
    rig->fields = g_string_new(NULL);
    return rig;
}

void
SasShim_FreeAnswer(struct answer_rig *rig)
{
    SasHttpAnswer_Close(&rig->answer);
    g_string_free(rig->body, TRUE);
    g_string_free(rig->fields, TRUE);
    g_free(rig);
}

static void
note_head(struct answer_rig *rig)
{
    rig->heads++;
    g_string_truncate(rig->fields, 0);
    for (int i = 0; i < rig->answer.head.count; i++) {
        const struct sas_http_header *field = &rig->answer.head.fields[i];
        g_string_append_printf(rig->fields, "%s:%s\n", field->name,
                               field->value);
    }
}

/* Returns the event that is the last one for these bytes: MORE, END or
 * BROKEN. */
int
SasShim_ReadAnswer(struct answer_rig *rig, const char *data, int64_t size)
{
    /* A copy of its own, so that sanitizers see a read behind it. */
    g_autofree char *copy = g_memdup2(data, (gsize)size);
    struct sas_http_bytes input = {copy, (size_t)size};
    struct sas_http_bytes piece = {0};
    while (true) {
        enum sas_http_answer_event event =
            SasHttpAnswer_Read(&rig->answer, &input, &piece);
        if (event == SAS_HTTP_ANSWER_HEAD) {
            note_head(rig);
        }
        else if (event == SAS_HTTP_ANSWER_BODY) {
            g_string_append_len(rig->body, piece.at, (gssize)piece.size);
        }
        else if (event != SAS_HTTP_ANSWER_INTERIM) {
            rig->left = input.size;
            return (int)event;
        }
    }
}

int
SasShim_MayAnswerEnd(const struct answer_rig *rig)
{
    return SasHttpAnswer_MayEndHere(&rig->answer);
}

int
SasShim_CountHeads(const struct answer_rig *rig)
{
    return rig->heads;
}

int
SasShim_GetStatus(const struct answer_rig *rig)
{
    return rig->answer.status;
}

int
SasShim_GetFraming(const struct answer_rig *rig)
{
    return (int)rig->answer.framing;
}

int
SasShim_KeepsAlive(const struct answer_rig *rig)
{
    return rig->answer.keep_alive;
}

int64_t
SasShim_GetLength(const struct answer_rig *rig)
{
    return (int64_t)rig->answer.left;
}

int64_t
SasShim_CountLeft(const struct answer_rig *rig)
{
    return (int64_t)rig->left;
}

const char *
SasShim_GetAnswerBody(const struct answer_rig *rig)
{
    return rig->body->str;
}

const char *
SasShim_GetFields(const struct answer_rig *rig)
{
    return rig->fields->str;
}
