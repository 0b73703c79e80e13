#include "sas/http_answer.h"

#include <string.h>
#include <strings.h>

/* Names and values, and what stands between them. */
#define MAX_LINE_BYTES (SasHttp_MAX_HEADER_BYTES + 4 * SasHttp_MAX_HEADERS)

#define VERSION_PREFIX "HTTP/1."
#define STATUS_AT (sizeof("HTTP/1.1 ") - 1)
#define STATUS_DIGITS 3
#define MIN_STATUS 100
#define MAX_STATUS 599
#define SWITCHING_PROTOCOLS 101

void
SasHttpAnswer_Init(struct sas_http_answer *answer)
{
    memset(answer, 0, sizeof(*answer));
    SasHttpHead_Init(&answer->head);
    answer->line = g_string_new(NULL);
}

void
SasHttpAnswer_Close(struct sas_http_answer *answer)
{
    SasHttpHead_Close(&answer->head);
    g_string_free(answer->line, TRUE);
}

void
SasHttpAnswer_Begin(struct sas_http_answer *answer, bool to_head)
{
    SasHttpHead_Reset(&answer->head);
    g_string_truncate(answer->line, 0);
    answer->line_bytes = 0;
    answer->status = 0;
    answer->framing = SAS_HTTP_NO_BODY;
    answer->keep_alive = false;
    answer->left = 0;
    answer->problem = NULL;
    answer->state = SAS_HTTP_AT_STATUS_LINE;
    answer->to_head = to_head;
}

bool
SasHttpAnswer_IsInHead(const struct sas_http_answer *answer)
{
    return answer->state == SAS_HTTP_AT_STATUS_LINE ||
           answer->state == SAS_HTTP_AT_FIELDS;
}

bool
SasHttpAnswer_MayEndHere(const struct sas_http_answer *answer)
{
    return answer->state == SAS_HTTP_AT_BODY &&
           answer->framing == SAS_HTTP_CLOSE;
}

/* Characters. */

/* tchar (RFC 9110, 5.6.2) */
static bool
is_token(struct sas_http_bytes text)
{
    for (size_t i = 0; i < text.size; i++) {
        char c = text.at[i];
        if (!g_ascii_isalnum(c) &&
            (c == '\0' || strchr("!#$%&'*+-.^_`|~", c) == NULL)) {
            return false;
        }
    }
    return text.size > 0;
}

/* Blanks, VCHAR and obs-text (RFC 9110, 5.5): no control bytes. */
static bool
is_text(struct sas_http_bytes text)
{
    for (size_t i = 0; i < text.size; i++) {
        unsigned char c = (unsigned char)text.at[i];
        if ((c < ' ' && c != '\t') || c == 0x7f) {
            return false;
        }
    }
    return true;
}

static bool
is_blank(char c)
{
    return c == ' ' || c == '\t';
}

static void
skip(struct sas_http_bytes *text, size_t size)
{
    text->at += size;
    text->size -= size;
}

static struct sas_http_bytes
trim(struct sas_http_bytes text)
{
    while (text.size > 0 && is_blank(text.at[0])) {
        skip(&text, 1);
    }
    while (text.size > 0 && is_blank(text.at[text.size - 1])) {
        text.size--;
    }
    return text;
}

static bool
equals(struct sas_http_bytes text, const char *word)
{
    return text.size == strlen(word) &&
           strncasecmp(text.at, word, text.size) == 0;
}

/* Lists (RFC 9110, 5.6.1): elements between commas, in one field or more of
 * the same name; empty ones are ignored. */

struct list {
    const struct sas_http_head *head;
    const char *name;
    int field; /* the next one to look at */
    struct sas_http_bytes rest;
};

static bool
find_field(struct list *list)
{
    while (list->field < list->head->count) {
        const struct sas_http_header *field =
            &list->head->fields[list->field++];
        if (strcasecmp(field->name, list->name) == 0) {
            list->rest =
                (struct sas_http_bytes){field->value, strlen(field->value)};
            return true;
        }
    }
    return false;
}

static bool
next_element(struct list *list, struct sas_http_bytes *element)
{
    element->size = 0;
    while (element->size == 0) {
        if (list->rest.size == 0 && !find_field(list)) {
            return false;
        }
        struct sas_http_bytes text = list->rest;
        const char *comma =
            text.size > 0 ? memchr(text.at, ',', text.size) : NULL;
        size_t taken = comma != NULL ? (size_t)(comma - text.at) : text.size;
        skip(&list->rest, comma != NULL ? taken + 1 : taken);
        text.size = taken;
        *element = trim(text);
    }
    return true;
}

static bool
has_element(const struct sas_http_head *head, const char *name,
            const char *word)
{
    struct list list = {.head = head, .name = name};
    struct sas_http_bytes element;
    while (next_element(&list, &element)) {
        if (equals(element, word)) {
            return true;
        }
    }
    return false;
}

/* The head. Functions return NULL, or what is broken. */

static const char *
read_status_line(struct sas_http_answer *answer, struct sas_http_bytes line)
{
    size_t prefix = strlen(VERSION_PREFIX);
    if (line.size < STATUS_AT + STATUS_DIGITS ||
        memcmp(line.at, VERSION_PREFIX, prefix) != 0 ||
        !g_ascii_isdigit(line.at[prefix]) || line.at[prefix + 1] != ' ') {
        return "no status line of HTTP/1";
    }
    answer->minor_version = g_ascii_digit_value(line.at[prefix]);
    skip(&line, STATUS_AT);
    answer->status = 0;
    for (int i = 0; i < STATUS_DIGITS; i++) {
        if (!g_ascii_isdigit(line.at[i])) {
            return "the status is no number of three digits";
        }
        answer->status = 10 * answer->status + g_ascii_digit_value(line.at[i]);
    }
    skip(&line, STATUS_DIGITS);
    if (line.size > 0 && line.at[0] != ' ') {
        return "the status is no number of three digits";
    }
    if (answer->status < MIN_STATUS || answer->status > MAX_STATUS) {
        return "the status is out of range";
    }
    if (!is_text(line)) {
        return "a control byte in the reason phrase";
    }
    answer->state = SAS_HTTP_AT_FIELDS;
    return NULL;
}

static int
append_folded(struct sas_http_head *head, struct sas_http_bytes text)
{
    if (SasHttpHead_AppendValue(head, " ", 1, SasHttp_MAX_HEADER_BYTES) != 0) {
        return -1;
    }
    return SasHttpHead_AppendValue(head, text.at, text.size,
                                   SasHttp_MAX_HEADER_BYTES);
}

static int
append_field(struct sas_http_head *head, struct sas_http_bytes name,
             struct sas_http_bytes value)
{
    if (SasHttpHead_AppendName(head, name.at, name.size,
                               SasHttp_MAX_HEADER_BYTES) != 0) {
        return -1;
    }
    return SasHttpHead_AppendValue(head, value.at, value.size,
                                   SasHttp_MAX_HEADER_BYTES);
}

/* Of the head, or of the trailers, which are checked and dropped. */
static const char *
read_field(struct sas_http_answer *answer, struct sas_http_bytes line)
{
    bool in_head = answer->state == SAS_HTTP_AT_FIELDS;
    bool folded = is_blank(line.at[0]);
    if (folded && in_head && answer->head.offsets->len == 0) {
        return "a blank before the first field";
    }
    const char *colon = memchr(line.at, ':', line.size);
    if (!folded && colon == NULL) {
        return "a field without a colon";
    }
    size_t name_size = folded ? 0 : (size_t)(colon - line.at);
    struct sas_http_bytes name = {line.at, name_size};
    if (!folded && !is_token(name)) {
        return "the name of a field is no token";
    }
    skip(&line, folded ? 0 : name_size + 1);
    struct sas_http_bytes value = trim(line);
    if (!is_text(value)) {
        return "a control byte in the value of a field";
    }
    if (!in_head) {
        return NULL;
    }
    int rc = folded ? append_folded(&answer->head, value)
                    : append_field(&answer->head, name, value);
    return rc != 0 ? "the head is too long" : NULL;
}

/* Digits, the same number in all elements of the list (RFC 9112, 6.3). */
static const char *
read_length(struct sas_http_answer *answer)
{
    struct list list = {.head = &answer->head, .name = "Content-Length"};
    struct sas_http_bytes element;
    int count = 0;
    while (next_element(&list, &element)) {
        uint64_t value = 0;
        for (size_t i = 0; i < element.size; i++) {
            if (!g_ascii_isdigit(element.at[i]) ||
                value > (INT64_MAX - 9) / 10) {
                return "the length is no number";
            }
            value = 10 * value + (uint64_t)g_ascii_digit_value(element.at[i]);
        }
        if (count > 0 && value != answer->left) {
            return "two different lengths";
        }
        answer->left = value;
        count++;
    }
    return count > 0 ? NULL : "the length is no number";
}

/* No coding was asked for, so the server may only use chunked (RFC 9112, 6.1
 * and 7.4). */
static const char *
check_coding(const struct sas_http_answer *answer)
{
    struct list list = {.head = &answer->head, .name = "Transfer-Encoding"};
    struct sas_http_bytes element;
    if (answer->minor_version == 0) {
        return "a transfer coding in HTTP/1.0";
    }
    if (!next_element(&list, &element) || !equals(element, "chunked") ||
        next_element(&list, &element)) {
        return "a transfer coding other than chunked";
    }
    return NULL;
}

static bool
has_field(const struct sas_http_answer *answer, const char *name)
{
    return SasHttp_FindHeader(answer->head.fields, answer->head.count, name) !=
           NULL;
}

/* Where the body ends (RFC 9112, 6.3). */
static const char *
find_framing(struct sas_http_answer *answer)
{
    bool coded = has_field(answer, "Transfer-Encoding");
    bool measured = has_field(answer, "Content-Length");
    if (answer->to_head || answer->status == 204 || answer->status == 304) {
        answer->framing = SAS_HTTP_NO_BODY;
        return NULL;
    }
    if (coded && measured) {
        return "a length beside a transfer coding";
    }
    if (coded) {
        answer->framing = SAS_HTTP_CHUNKED;
        return check_coding(answer);
    }
    answer->framing = measured ? SAS_HTTP_LENGTH : SAS_HTTP_CLOSE;
    return measured ? read_length(answer) : NULL;
}

/* RFC 9112, 9.3 */
static bool
stays_open(const struct sas_http_answer *answer)
{
    if (answer->framing == SAS_HTTP_CLOSE ||
        has_element(&answer->head, "Connection", "close")) {
        return false;
    }
    return answer->minor_version > 0 ||
           has_element(&answer->head, "Connection", "keep-alive");
}

static enum sas_http_answer_state
get_body_state(const struct sas_http_answer *answer)
{
    switch (answer->framing) {
    case SAS_HTTP_NO_BODY:
        return SAS_HTTP_AT_END;
    case SAS_HTTP_LENGTH:
        return answer->left > 0 ? SAS_HTTP_AT_BODY : SAS_HTTP_AT_END;
    case SAS_HTTP_CHUNKED:
        return SAS_HTTP_AT_CHUNK_SIZE;
    case SAS_HTTP_CLOSE:
        return SAS_HTTP_AT_BODY;
    }
    return SAS_HTTP_AT_PROBLEM;
}

static const char *
end_head(struct sas_http_answer *answer)
{
    SasHttpHead_Finish(&answer->head);
    if (answer->status == SWITCHING_PROTOCOLS) {
        return "another protocol, which was not asked for";
    }
    if (answer->status / 100 == 1) {
        return NULL;
    }
    const char *problem = find_framing(answer);
    answer->keep_alive = stays_open(answer);
    answer->state = get_body_state(answer);
    answer->line_bytes = 0;
    return problem;
}

/* Chunks (RFC 9112, 7.1). */

static const char *
read_chunk_size(struct sas_http_answer *answer, struct sas_http_bytes line)
{
    uint64_t size = 0;
    size_t digits = 0;
    while (digits < line.size && g_ascii_isxdigit(line.at[digits])) {
        if (size > INT64_MAX >> 4) {
            return "a chunk is too long";
        }
        size = size << 4 | (uint64_t)g_ascii_xdigit_value(line.at[digits]);
        digits++;
    }
    skip(&line, digits);
    struct sas_http_bytes extension = trim(line);
    if (digits == 0 || !is_text(line) ||
        (line.size > 0 && (extension.size == 0 || extension.at[0] != ';'))) {
        return "the size of a chunk is no number";
    }
    answer->left = size;
    answer->state = size > 0 ? SAS_HTTP_AT_CHUNK : SAS_HTTP_AT_TRAILERS;
    answer->line_bytes = 0;
    return NULL;
}

static const char *
read_chunk_end(struct sas_http_answer *answer, struct sas_http_bytes *input)
{
    bool at_cr = answer->state == SAS_HTTP_AT_CHUNK_CR;
    if (input->at[0] != (at_cr ? '\r' : '\n')) {
        return "a chunk is longer than its size";
    }
    skip(input, 1);
    answer->state = at_cr ? SAS_HTTP_AT_CHUNK_LF : SAS_HTTP_AT_CHUNK_SIZE;
    return NULL;
}

/* Lines. */

static enum sas_http_answer_event
break_off(struct sas_http_answer *answer, const char *problem)
{
    answer->problem = problem;
    answer->state = SAS_HTTP_AT_PROBLEM;
    return SAS_HTTP_ANSWER_BROKEN;
}

/* Bytes that can't become a status line are told at once, not when their line
 * ends: they may go on without end. */
static bool
may_begin_answer(struct sas_http_bytes start)
{
    return memcmp(start.at, VERSION_PREFIX,
                  MIN(start.size, strlen(VERSION_PREFIX))) == 0;
}

enum line_result {
    LINE_PARTIAL,
    LINE_WHOLE,
    LINE_BROKEN
};

/* Takes the next line, without its end, which is CR LF, or LF if bare_lf. It
 * is valid until the next call. */
static enum line_result
take_line(struct sas_http_answer *answer, struct sas_http_bytes *input,
          bool bare_lf, struct sas_http_bytes *line)
{
    const char *lf =
        input->size > 0 ? memchr(input->at, '\n', input->size) : NULL;
    size_t size = lf != NULL ? (size_t)(lf - input->at) + 1 : input->size;
    answer->line_bytes += size;
    if (answer->line_bytes > MAX_LINE_BYTES) {
        answer->problem = "the head or a line is too long";
        return LINE_BROKEN;
    }
    struct sas_http_bytes found = {input->at, size};
    if (lf == NULL || answer->line->len > 0) {
        g_string_append_len(answer->line, input->at, (gssize)size);
        found = (struct sas_http_bytes){answer->line->str, answer->line->len};
    }
    skip(input, size);
    *line = found;
    if (lf == NULL) {
        return LINE_PARTIAL;
    }
    line->size--;
    bool has_cr = line->size > 0 && line->at[line->size - 1] == '\r';
    line->size -= has_cr ? 1 : 0;
    if (!has_cr && !bare_lf) {
        answer->problem = "a line of a chunk doesn't end with CR LF";
        return LINE_BROKEN;
    }
    return LINE_WHOLE;
}

static const char *
read_whole_line(struct sas_http_answer *answer, struct sas_http_bytes line)
{
    switch (answer->state) {
    case SAS_HTTP_AT_STATUS_LINE:
        return read_status_line(answer, line);
    case SAS_HTTP_AT_CHUNK_SIZE:
        return read_chunk_size(answer, line);
    case SAS_HTTP_AT_TRAILERS:
        if (line.size == 0) {
            answer->state = SAS_HTTP_AT_END;
            return NULL;
        }
        return read_field(answer, line);
    default:
        return line.size == 0 ? end_head(answer) : read_field(answer, line);
    }
}

static enum sas_http_answer_event
read_line(struct sas_http_answer *answer, struct sas_http_bytes *input)
{
    bool bare_lf = answer->state != SAS_HTTP_AT_CHUNK_SIZE;
    struct sas_http_bytes line;
    enum line_result result = take_line(answer, input, bare_lf, &line);
    if (result == LINE_BROKEN) {
        return break_off(answer, answer->problem);
    }
    if (answer->state == SAS_HTTP_AT_STATUS_LINE && !may_begin_answer(line)) {
        return break_off(answer, "no status line of HTTP/1");
    }
    if (result == LINE_PARTIAL) {
        return SAS_HTTP_ANSWER_MORE;
    }
    bool is_interim = answer->status / 100 == 1;
    bool ends_head = answer->state == SAS_HTTP_AT_FIELDS && line.size == 0;
    const char *problem = read_whole_line(answer, line);
    g_string_truncate(answer->line, 0);
    if (problem != NULL) {
        return break_off(answer, problem);
    }
    if (ends_head && is_interim) {
        SasHttpAnswer_Begin(answer, answer->to_head);
        return SAS_HTTP_ANSWER_INTERIM;
    }
    return ends_head ? SAS_HTTP_ANSWER_HEAD : SAS_HTTP_ANSWER_MORE;
}

static enum sas_http_answer_event
read_body(struct sas_http_answer *answer, struct sas_http_bytes *input,
          struct sas_http_bytes *piece)
{
    *piece = *input;
    if (answer->framing != SAS_HTTP_CLOSE) {
        piece->size = (size_t)MIN(answer->left, input->size);
        answer->left -= piece->size;
    }
    skip(input, piece->size);
    if (answer->framing == SAS_HTTP_LENGTH && answer->left == 0) {
        answer->state = SAS_HTTP_AT_END;
    }
    else if (answer->framing == SAS_HTTP_CHUNKED && answer->left == 0) {
        answer->state = SAS_HTTP_AT_CHUNK_CR;
    }
    return SAS_HTTP_ANSWER_BODY;
}

/* One line, a part of the body or the end of a chunk. */
static enum sas_http_answer_event
read_next(struct sas_http_answer *answer, struct sas_http_bytes *input,
          struct sas_http_bytes *piece)
{
    const char *problem = NULL;
    switch (answer->state) {
    case SAS_HTTP_AT_BODY:
    case SAS_HTTP_AT_CHUNK:
        return read_body(answer, input, piece);
    case SAS_HTTP_AT_CHUNK_CR:
    case SAS_HTTP_AT_CHUNK_LF:
        problem = read_chunk_end(answer, input);
        return problem != NULL ? break_off(answer, problem)
                               : SAS_HTTP_ANSWER_MORE;
    default:
        return read_line(answer, input);
    }
}

enum sas_http_answer_event
SasHttpAnswer_Read(struct sas_http_answer *answer,
                   struct sas_http_bytes *input, struct sas_http_bytes *piece)
{
    enum sas_http_answer_event event = SAS_HTTP_ANSWER_MORE;
    while (event == SAS_HTTP_ANSWER_MORE) {
        if (answer->state == SAS_HTTP_AT_END) {
            return SAS_HTTP_ANSWER_END;
        }
        if (answer->state == SAS_HTTP_AT_PROBLEM) {
            return SAS_HTTP_ANSWER_BROKEN;
        }
        if (input->size == 0) {
            return SAS_HTTP_ANSWER_MORE;
        }
        event = read_next(answer, input, piece);
    }
    return event;
}
