#include "sas/settings.h"

#include <arpa/inet.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "fields.h"
#include "sas/log.h"
#include "toml.h"

#define STEP "settings.load"

#define DEFAULT_CALLER_PORT 8000
#define DEFAULT_PEER_PORT 8001
#define DEFAULT_ADMIN_PORT 8002
#define DEFAULT_DEADLINE_MS 10000
#define DEFAULT_CONNECTIONS 330
#define DEFAULT_BODY_LIMIT 32000000
#define DEFAULT_BODIES_LIMIT 256000000
#define DEFAULT_QUEUE_WAIT_MS 1000
#define DEFAULT_RETRY_SHARE 0.1
/* Longer than an answer to a look-up may live in a caller's cache. */
#define DEFAULT_DRAIN_NOTICE_MS 30000
/* The notice, and after it the longest deadline that a request may have. */
#define DEFAULT_STOP_LIMIT_MS 360000

#define MAX_PORT 65535
#define MAX_DEADLINE_MS 300000
#define MAX_STOP_MS 3600000
#define MAX_SLOTS 100000
#define MAX_CONNECTIONS 1000000
#define MAX_MEGABYTES 1000000
#define MAX_MBIT_PER_S 10000000
#define MAX_UTC_OFFSET_S (14 * 3600)

/* What one pass over a document needs. */
struct loader {
    struct sas_settings *settings;
    struct sas_model *model;
    const struct sas_toml *document;
    struct sas_reader reader;
    GHashTable *taken; /* "kind what" to the line that has it */
};

/* A block and where it stands, so that duplicates found after sorting can be
 * named. */
struct block_row {
    struct sas_block block;
    int line;
};

#define FIELD(row, name, kind)                                                \
    .key = #name, .type = SasField_##kind, .offset = offsetof(struct row, name)

static void load_document(struct loader *loader);
static struct sas_toml *parse(struct sas_reader *reader, const char *text);
static void resolve_path(char **path, const char *name);

int
SasSettings_Load(struct sas_settings *settings, const char *path,
                 struct sas_error *error)
{
    g_autofree char *text = NULL;
    g_autoptr(GError) failure = NULL;
    if (!g_file_get_contents(path, &text, NULL, &failure)) {
        SasError_Set(error, SAS_EIO, STEP, "", "%s", failure->message);
        return -1;
    }
    return SasSettings_LoadText(settings, text, path, error);
}

/* Fills in the settings and gives back the problems, in order. */
static void
load(struct sas_settings *settings, const char *text,
     struct sas_reader *problems)
{
    memset(settings, 0, sizeof(*settings));
    struct loader loader = {
        .settings = settings,
        .model = &settings->model,
        .taken = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
    };
    SasReader_Init(&loader.reader, &settings->model);
    struct sas_toml *document = parse(&loader.reader, text);
    if (document != NULL) {
        loader.document = document;
        load_document(&loader);
    }
    SasToml_Free(document);
    g_hash_table_destroy(loader.taken);
    SasReader_SortProblems(&loader.reader);
    *problems = loader.reader;
}

int
SasSettings_LoadText(struct sas_settings *settings, const char *text,
                     const char *name, struct sas_error *error)
{
    struct sas_reader reader;
    load(settings, text, &reader);
    if (reader.problems->len > 0) {
        const struct sas_problem *first =
            &g_array_index(reader.problems, struct sas_problem, 0);
        SasError_Set(error, SAS_EINVAL, STEP, "", "%s:%d: %s", name,
                     first->line, first->text);
        SasReader_Clear(&reader);
        SasSettings_Unload(settings);
        return -1;
    }
    SasReader_Clear(&reader);
    resolve_path(&settings->peer_key_file, name);
    resolve_path(&settings->admin_token_file, name);
    return 0;
}

void
SasSettings_Unload(struct sas_settings *settings)
{
    SasModel_Free(&settings->model);
    g_free(settings->peer_key_file);
    g_free(settings->admin_token_file);
    g_free(settings->log_level);
    g_free(settings->placement);
    memset(settings, 0, sizeof(*settings));
}

char *
SasSettings_ListProblems(const char *text, const char *name)
{
    struct sas_settings settings;
    struct sas_reader reader;
    load(&settings, text, &reader);
    SasSettings_Unload(&settings);
    GString *list = g_string_new(NULL);
    for (guint i = 0; i < reader.problems->len; i++) {
        const struct sas_problem *problem =
            &g_array_index(reader.problems, struct sas_problem, i);
        g_string_append_printf(list, "%s:%d: %s\n", name, problem->line,
                               problem->text);
    }
    SasReader_Clear(&reader);
    return g_string_free(list, list->len == 0);
}

int
SasSettings_FindVm(const struct sas_settings *settings, const char *name,
                   struct sas_error *error)
{
    int vm = SasModel_FindVm(&settings->model, name);
    if (vm != SasModel_NONE) {
        return vm;
    }
    g_autoptr(GString) known = g_string_new(NULL);
    for (int i = 0; i < settings->model.vm_count; i++) {
        g_string_append_printf(known, "%s%s", i == 0 ? "" : ", ",
                               settings->model.vms[i].name);
    }
    SasError_Set(error, SAS_ENOTFOUND, "settings.vm", "",
                 "no entry VM is named \"%s\"; there are: %s", name,
                 known->str);
    return SasModel_NONE;
}

static struct sas_toml *
parse(struct sas_reader *reader, const char *text)
{
    int line = 1;
    g_autofree char *reason = NULL;
    struct sas_toml *document =
        SasToml_Parse(text, strlen(text), &line, &reason);
    if (document == NULL) {
        SasReader_Complain(reader, line, "syntax", NULL, "%s", reason);
    }
    return document;
}

/* Relative paths start at the folder of the settings file, wherever the
 * process was started. */
static void
resolve_path(char **path, const char *name)
{
    if (*path == NULL || g_path_is_absolute(*path)) {
        return;
    }
    g_autofree char *folder = g_path_get_dirname(name);
    char *joined = g_build_filename(folder, *path, NULL);
    g_free(*path);
    *path = joined;
}

/* Line of a key in a table, or of the table itself. */
static int
get_line(const struct sas_toml *table, const char *key)
{
    const struct sas_toml *value = SasToml_Find(table, key);
    return value != NULL ? value->line : table->line;
}

/* Claims a name, an address or a link for a line; a problem where it is
 * taken. Names of different kinds may be the same. */
static void
claim(struct loader *loader, const char *kind, const char *what, int line,
      const char *section, const char *key)
{
    char *entry = g_strdup_printf("%s %s", kind, what);
    gpointer first = g_hash_table_lookup(loader->taken, entry);
    if (first != NULL) {
        SasReader_Complain(&loader->reader, line, section, key,
                           "%s is already used in line %d", what,
                           GPOINTER_TO_INT(first));
        g_free(entry);
        return;
    }
    g_hash_table_insert(loader->taken, entry, GINT_TO_POINTER(line));
}

static void
claim_name(struct loader *loader, const char *kind, const char *name,
           const struct sas_toml *table, const char *section)
{
    if (name[0] != '\0') {
        claim(loader, kind, name, get_line(table, "name"), section, "name");
    }
}

static void
claim_address(struct loader *loader, const struct sas_address *address,
              const struct sas_toml *table, const char *section,
              const char *key)
{
    if (address->ip[0] != '\0' && address->port != 0) {
        g_autofree char *what =
            g_strdup_printf("%s port %d", address->ip, address->port);
        claim(loader, "address", what, get_line(table, key), section, key);
    }
}

/* A section that may stand once; an empty table when it is absent. */
static const struct sas_toml *
get_section(struct loader *loader, const char *name)
{
    static const struct sas_toml empty = {.type = SasToml_TABLE, .line = 1};
    const struct sas_toml *section = SasToml_Find(loader->document, name);
    if (section == NULL) {
        return &empty;
    }
    if (section->type != SasToml_TABLE) {
        SasReader_Complain(&loader->reader, section->line, name, NULL,
                           "must be one table, [%s]", name);
        return &empty;
    }
    return section;
}

/* The rows of a section that may repeat; an empty array when it is absent or
 * not an array of tables. */
static const struct sas_toml *
get_rows(struct loader *loader, const char *name)
{
    static const struct sas_toml empty = {.type = SasToml_ARRAY, .line = 1};
    const struct sas_toml *rows = SasToml_Find(loader->document, name);
    if (rows == NULL) {
        return &empty;
    }
    bool tables = rows->type == SasToml_ARRAY;
    for (int i = 0; tables && i < rows->child_count; i++) {
        tables = rows->children[i].type == SasToml_TABLE;
    }
    if (!tables) {
        SasReader_Complain(&loader->reader, rows->line, name, NULL,
                           "must be tables, [[%s]]", name);
        return &empty;
    }
    return rows;
}

/* No table has more rows than its limit. */
static int
count_rows(struct loader *loader, const struct sas_toml *rows,
           const char *section, int limit)
{
    if (rows->child_count <= limit) {
        return rows->child_count;
    }
    SasReader_Complain(&loader->reader, rows->children[limit].line, section,
                       NULL, "more than %d", limit);
    return limit;
}

/* The handle that an absent reference means: the only row there is. */
static int
get_sole(int count)
{
    return count == 1 ? 0 : SasModel_NONE;
}

static void
check_sections(struct loader *loader)
{
    static const char *const known[] = {
        "deployment", "store",    "region",   "failure_domain",
        "link",       "entry_vm", "service",  "backend_server",
        "block",      "limits",   "security", "log",
    };
    const struct sas_toml *document = loader->document;
    for (int i = 0; i < document->child_count; i++) {
        const struct sas_toml *section = &document->children[i];
        bool found = false;
        for (size_t j = 0; j < G_N_ELEMENTS(known); j++) {
            found = found || strcmp(section->key, known[j]) == 0;
        }
        if (!found) {
            SasReader_Complain(&loader->reader, section->line, "",
                               section->key, "unknown section");
        }
    }
}

/* Without a [[region]] there is one, named "local". */
static void
load_regions(struct loader *loader)
{
    static const struct sas_field fields[] = {
        {FIELD(sas_region, name, NAME), .required = true},
    };
    struct sas_model *model = loader->model;
    const struct sas_toml *rows = get_rows(loader, "region");
    int count = count_rows(loader, rows, "region", SasModel_MAX_REGIONS);
    model->regions = g_new0(struct sas_region, MAX(count, 1));
    for (int i = 0; i < count; i++) {
        const struct sas_toml *row = &rows->children[i];
        struct sas_region *region = &model->regions[model->region_count++];
        SasReader_ReadTable(&loader->reader, "region", row, fields,
                            G_N_ELEMENTS(fields), region);
        claim_name(loader, "region", region->name, row, "region");
    }
    if (count == 0) {
        g_strlcpy(model->regions[0].name, "local", SasModel_NAME_SIZE);
        model->region_count = 1;
    }
}

/* Without a [[failure_domain]] each region is one, of the same name. */
static void
default_domains(struct sas_model *model)
{
    model->domains = g_new0(struct sas_domain, model->region_count);
    model->domain_count = model->region_count;
    for (int i = 0; i < model->region_count; i++) {
        g_strlcpy(model->domains[i].name, model->regions[i].name,
                  SasModel_NAME_SIZE);
        model->domains[i].region = i;
    }
}

static void
load_domains(struct loader *loader)
{
    static const struct sas_field fields[] = {
        {FIELD(sas_domain, name, NAME), .required = true},
        {FIELD(sas_domain, region, REFERENCE), .required = true,
         .find = SasModel_FindRegion, .what = "region"},
    };
    struct sas_model *model = loader->model;
    const struct sas_toml *rows = get_rows(loader, "failure_domain");
    int count =
        count_rows(loader, rows, "failure_domain", SasModel_MAX_DOMAINS);
    if (count == 0) {
        default_domains(model);
        return;
    }
    model->domains = g_new0(struct sas_domain, count);
    for (int i = 0; i < count; i++) {
        const struct sas_toml *row = &rows->children[i];
        struct sas_domain *domain = &model->domains[model->domain_count++];
        domain->region = get_sole(model->region_count);
        SasReader_ReadTable(&loader->reader, "failure_domain", row, fields,
                            G_N_ELEMENTS(fields), domain);
        claim_name(loader, "failure domain", domain->name, row,
                   "failure_domain");
    }
}

static void
load_links(struct loader *loader)
{
    static const struct sas_field fields[] = {
        {FIELD(sas_link, from, REFERENCE), .required = true,
         .find = SasModel_FindRegion, .what = "region"},
        {FIELD(sas_link, to, REFERENCE), .required = true,
         .find = SasModel_FindRegion, .what = "region"},
        {FIELD(sas_link, mbit_per_s, REAL), .required = true, .least = 0.001,
         .most = MAX_MBIT_PER_S},
    };
    struct sas_model *model = loader->model;
    const struct sas_toml *rows = get_rows(loader, "link");
    model->links = g_new0(struct sas_link, rows->child_count);
    for (int i = 0; i < rows->child_count; i++) {
        const struct sas_toml *row = &rows->children[i];
        struct sas_link *link = &model->links[model->link_count++];
        link->from = SasModel_NONE;
        link->to = SasModel_NONE;
        SasReader_ReadTable(&loader->reader, "link", row, fields,
                            G_N_ELEMENTS(fields), link);
        if (link->from == SasModel_NONE || link->to == SasModel_NONE) {
            continue;
        }
        if (link->from == link->to) {
            SasReader_Complain(&loader->reader, get_line(row, "to"), "link",
                               "to", "the same region as from");
        }
        g_autofree char *what =
            g_strdup_printf("from %s to %s", model->regions[link->from].name,
                            model->regions[link->to].name);
        claim(loader, "link", what, row->line, "link", NULL);
    }
}

static void
load_vms(struct loader *loader)
{
    struct vm_row {
        char name[SasModel_NAME_SIZE];
        int failure_domain;
        char ip[SasModel_IP_SIZE];
        int caller_port;
        int peer_port;
        int admin_port;
    };
    static const struct sas_field fields[] = {
        {FIELD(vm_row, name, NAME), .required = true},
        {FIELD(vm_row, failure_domain, REFERENCE), .required = true,
         .find = SasModel_FindDomain, .what = "failure domain"},
        {FIELD(vm_row, ip, IP), .required = true},
        {FIELD(vm_row, caller_port, INTEGER), .least = 1, .most = MAX_PORT},
        {FIELD(vm_row, peer_port, INTEGER), .least = 1, .most = MAX_PORT},
        {FIELD(vm_row, admin_port, INTEGER), .least = 1, .most = MAX_PORT},
    };
    struct sas_model *model = loader->model;
    const struct sas_toml *rows = get_rows(loader, "entry_vm");
    model->vms = g_new0(struct sas_vm, rows->child_count);
    for (int i = 0; i < rows->child_count; i++) {
        const struct sas_toml *table = &rows->children[i];
        struct vm_row row = {
            .failure_domain = get_sole(model->domain_count),
            .caller_port = DEFAULT_CALLER_PORT,
            .peer_port = DEFAULT_PEER_PORT,
            .admin_port = DEFAULT_ADMIN_PORT,
        };
        SasReader_ReadTable(&loader->reader, "entry_vm", table, fields,
                            G_N_ELEMENTS(fields), &row);
        struct sas_vm *vm = &model->vms[model->vm_count++];
        g_strlcpy(vm->name, row.name, sizeof(vm->name));
        vm->domain = row.failure_domain;
        g_strlcpy(vm->caller.ip, row.ip, sizeof(vm->caller.ip));
        vm->peer = vm->caller;
        vm->admin = vm->caller;
        vm->caller.port = row.caller_port;
        vm->peer.port = row.peer_port;
        vm->admin.port = row.admin_port;
        /* A drain names an entry VM or a backend server alike. */
        claim_name(loader, "server", vm->name, table, "entry_vm");
        claim_address(loader, &vm->caller, table, "entry_vm", "caller_port");
        claim_address(loader, &vm->peer, table, "entry_vm", "peer_port");
        claim_address(loader, &vm->admin, table, "entry_vm", "admin_port");
    }
}

static void
load_once_routes(struct loader *loader, struct sas_service *service,
                 const struct sas_toml *once)
{
    service->once_routes = g_new0(struct sas_once_route, once->child_count);
    for (int i = 0; i < once->child_count; i++) {
        const struct sas_toml *value = &once->children[i];
        bool path = value->type == SasToml_STRING && value->text[0] == '/' &&
                    strpbrk(value->text, "?# ") == NULL;
        if (!path) {
            SasReader_Complain(&loader->reader, value->line, "service", "once",
                               "each must be a path that starts with /");
            continue;
        }
        struct sas_once_route *route =
            &service->once_routes[service->once_route_count++];
        if (g_strlcpy(route->prefix, value->text, sizeof(route->prefix)) >=
            sizeof(route->prefix)) {
            SasReader_Complain(&loader->reader, value->line, "service", "once",
                               "longer than %zu: \"%s\"",
                               sizeof(route->prefix) - 1, value->text);
        }
    }
}

static void
load_services(struct loader *loader)
{
    struct service_row {
        char name[SasModel_NAME_SIZE];
        int64_t deadline_ms;
        const struct sas_toml *once;
    };
    static const struct sas_field fields[] = {
        {FIELD(service_row, name, NAME), .required = true},
        {FIELD(service_row, deadline_ms, MS), .least = 1,
         .most = MAX_DEADLINE_MS},
        {FIELD(service_row, once, TREE)},
    };
    struct sas_model *model = loader->model;
    const struct sas_toml *rows = get_rows(loader, "service");
    int count = count_rows(loader, rows, "service", SasModel_MAX_SERVICES);
    model->services = g_new0(struct sas_service, count);
    for (int i = 0; i < count; i++) {
        const struct sas_toml *table = &rows->children[i];
        struct service_row row = {.deadline_ms = DEFAULT_DEADLINE_MS};
        SasReader_ReadTable(&loader->reader, "service", table, fields,
                            G_N_ELEMENTS(fields), &row);
        struct sas_service *service = &model->services[model->service_count++];
        g_strlcpy(service->name, row.name, sizeof(service->name));
        service->deadline_ms = row.deadline_ms;
        if (row.once != NULL) {
            load_once_routes(loader, service, row.once);
        }
        claim_name(loader, "service", service->name, table, "service");
    }
}

static void
load_backends(struct loader *loader)
{
    struct backend_row {
        char name[SasModel_NAME_SIZE];
        int service;
        int failure_domain;
        char ip[SasModel_IP_SIZE];
        int port;
        int slots;
        int connections;
    };
    static const struct sas_field fields[] = {
        {FIELD(backend_row, name, NAME), .required = true},
        {FIELD(backend_row, service, REFERENCE), .required = true,
         .find = SasModel_FindService, .what = "service"},
        {FIELD(backend_row, failure_domain, REFERENCE), .required = true,
         .find = SasModel_FindDomain, .what = "failure domain"},
        {FIELD(backend_row, ip, IP), .required = true},
        {FIELD(backend_row, port, INTEGER), .required = true, .least = 1,
         .most = MAX_PORT},
        {FIELD(backend_row, slots, INTEGER), .required = true, .least = 1,
         .most = MAX_SLOTS},
        {FIELD(backend_row, connections, INTEGER), .least = 1,
         .most = MAX_CONNECTIONS},
    };
    struct sas_model *model = loader->model;
    const struct sas_toml *rows = get_rows(loader, "backend_server");
    model->backends = g_new0(struct sas_backend, rows->child_count);
    for (int i = 0; i < rows->child_count; i++) {
        const struct sas_toml *table = &rows->children[i];
        struct backend_row row = {
            .service = get_sole(model->service_count),
            .failure_domain = get_sole(model->domain_count),
            .connections = DEFAULT_CONNECTIONS,
        };
        SasReader_ReadTable(&loader->reader, "backend_server", table, fields,
                            G_N_ELEMENTS(fields), &row);
        struct sas_backend *backend = &model->backends[model->backend_count++];
        g_strlcpy(backend->name, row.name, sizeof(backend->name));
        backend->service = row.service;
        backend->domain = row.failure_domain;
        g_strlcpy(backend->address.ip, row.ip, sizeof(backend->address.ip));
        backend->address.port = row.port;
        backend->slots = row.slots;
        backend->connections = row.connections;
        if (row.connections < row.slots) {
            SasReader_Complain(&loader->reader, get_line(table, "connections"),
                               "backend_server", "connections",
                               "%d connections can't fill %d slots",
                               row.connections, row.slots);
        }
        claim_name(loader, "server", backend->name, table, "backend_server");
        claim_address(loader, &backend->address, table, "backend_server",
                      "port");
    }
}

/* "10.1.0.0/16" into a block; false when it is anything else. */
static bool
parse_network(const char *text, struct sas_block *block)
{
    g_auto(GStrv) parts = g_strsplit(text, "/", 2);
    struct in_addr network;
    guint64 length;
    if (g_strv_length(parts) != 2 ||
        inet_pton(AF_INET, parts[0], &network) != 1 ||
        !g_ascii_string_to_unsigned(parts[1], 10, 0, 32, &length, NULL)) {
        return false;
    }
    block->network = ntohl(network.s_addr);
    block->prefix_length = (int)length;
    uint32_t mask = length == 0 ? 0 : UINT32_MAX << (32 - length);
    return (block->network & ~mask) == 0;
}

static gint
compare_blocks(gconstpointer a, gconstpointer b)
{
    const struct block_row *left = a;
    const struct block_row *right = b;
    if (left->block.network != right->block.network) {
        return left->block.network < right->block.network ? -1 : 1;
    }
    if (left->block.prefix_length != right->block.prefix_length) {
        return left->block.prefix_length - right->block.prefix_length;
    }
    return left->line - right->line;
}

static GArray *
read_blocks(struct loader *loader)
{
    struct network_row {
        char *network;
        int home;
    };
    static const struct sas_field fields[] = {
        {FIELD(network_row, network, TEXT), .required = true},
        {FIELD(network_row, home, REFERENCE), .required = true,
         .find = SasModel_FindRegion, .what = "region"},
    };
    const struct sas_toml *rows = get_rows(loader, "block");
    GArray *blocks = g_array_new(FALSE, FALSE, sizeof(struct block_row));
    for (int i = 0; i < rows->child_count; i++) {
        const struct sas_toml *table = &rows->children[i];
        struct network_row row = {.home =
                                      get_sole(loader->model->region_count)};
        SasReader_ReadTable(&loader->reader, "block", table, fields,
                            G_N_ELEMENTS(fields), &row);
        struct block_row block = {.line = table->line};
        block.block.home = row.home;
        if (row.network != NULL && !parse_network(row.network, &block.block)) {
            SasReader_Complain(&loader->reader, get_line(table, "network"),
                               "block", "network",
                               "not a network such as 10.1.0.0/16: \"%s\"",
                               row.network);
        }
        else if (row.network != NULL) {
            g_array_append_val(blocks, block);
        }
        g_free(row.network);
    }
    return blocks;
}

static void
load_blocks(struct loader *loader)
{
    struct sas_model *model = loader->model;
    g_autoptr(GArray) rows = read_blocks(loader);
    g_array_sort(rows, compare_blocks);
    model->blocks = g_new0(struct sas_block, rows->len);
    model->block_count = (int)rows->len;
    for (guint i = 0; i < rows->len; i++) {
        const struct block_row *row =
            &g_array_index(rows, struct block_row, i);
        model->blocks[i] = row->block;
        const struct sas_block *last = i == 0 ? NULL : &model->blocks[i - 1];
        if (last != NULL && last->network == row->block.network &&
            last->prefix_length == row->block.prefix_length) {
            SasReader_Complain(&loader->reader, row->line, "block", "network",
                               "the same network as another block");
        }
    }
}

/* "+05:00" or "-03:30" to seconds; false when it is anything else. */
static bool
parse_utc_offset(const char *text, int64_t *offset_s)
{
    if (strlen(text) != 6 || strchr("+-", text[0]) == NULL || text[3] != ':') {
        return false;
    }
    for (int i = 1; i < 6; i++) {
        if (i != 3 && !g_ascii_isdigit(text[i])) {
            return false;
        }
    }
    int hours = (text[1] - '0') * 10 + text[2] - '0';
    int minutes = (text[4] - '0') * 10 + text[5] - '0';
    int seconds = hours * 3600 + minutes * 60;
    *offset_s = text[0] == '-' ? -seconds : seconds;
    return minutes < 60 && seconds <= MAX_UTC_OFFSET_S;
}

static void
load_deployment(struct loader *loader)
{
    struct deployment_row {
        char name[SasModel_NAME_SIZE];
        char *utc_offset;
        int default_home;
    };
    static const struct sas_field fields[] = {
        {FIELD(deployment_row, name, NAME)},
        {FIELD(deployment_row, utc_offset, TEXT)},
        {FIELD(deployment_row, default_home, REFERENCE),
         .find = SasModel_FindRegion, .what = "region"},
    };
    const struct sas_toml *table = get_section(loader, "deployment");
    struct deployment_row row = {.name = "sassafrassill"};
    SasReader_ReadTable(&loader->reader, "deployment", table, fields,
                        G_N_ELEMENTS(fields), &row);
    struct sas_settings *settings = loader->settings;
    g_strlcpy(settings->name, row.name, sizeof(settings->name));
    settings->model.default_home = row.default_home;
    if (row.utc_offset != NULL &&
        !parse_utc_offset(row.utc_offset, &settings->utc_offset_s)) {
        SasReader_Complain(&loader->reader, get_line(table, "utc_offset"),
                           "deployment", "utc_offset",
                           "not an offset such as -05:00: \"%s\"",
                           row.utc_offset);
    }
    g_free(row.utc_offset);
}

static void
load_store(struct loader *loader)
{
    struct store_row {
        char ip[SasModel_IP_SIZE];
        int port;
        bool embedded;
    };
    static const struct sas_field fields[] = {
        {FIELD(store_row, ip, IP)},
        {FIELD(store_row, port, INTEGER), .least = 1, .most = MAX_PORT},
        {FIELD(store_row, embedded, BOOLEAN)},
    };
    const struct sas_toml *table = get_section(loader, "store");
    struct store_row row = {.embedded = false};
    guint problems = loader->reader.problems->len;
    SasReader_ReadTable(&loader->reader, "store", table, fields,
                        G_N_ELEMENTS(fields), &row);
    loader->settings->embedded_store = row.embedded;
    g_strlcpy(loader->settings->store.ip, row.ip,
              sizeof(loader->settings->store.ip));
    loader->settings->store.port = row.port;
    claim_address(loader, &loader->settings->store, table, "store", "port");
    if (loader->reader.problems->len > problems) {
        return;
    }
    bool addressed = row.ip[0] != '\0' && row.port != 0;
    if (!row.embedded && !addressed) {
        SasReader_Complain(&loader->reader, table->line, "store", NULL,
                           "needs ip and port, or embedded = true");
    }
    if (row.embedded && (row.ip[0] != '\0' || row.port != 0)) {
        SasReader_Complain(&loader->reader, get_line(table, "embedded"),
                           "store", "embedded",
                           "true, but an ip or port is given too");
    }
}

static void
load_limits(struct loader *loader)
{
    struct limits_row {
        size_t body_limit_mb;
        size_t bodies_limit_mb;
        int64_t queue_wait_ms;
        double retry_share;
        int64_t drain_notice_ms;
        int64_t stop_limit_ms;
        char *placement;
    };
    static const struct sas_field fields[] = {
        {FIELD(limits_row, body_limit_mb, MEGABYTES), .least = 1,
         .most = MAX_MEGABYTES},
        {FIELD(limits_row, bodies_limit_mb, MEGABYTES), .least = 1,
         .most = MAX_MEGABYTES},
        {FIELD(limits_row, queue_wait_ms, MS), .least = 0,
         .most = MAX_DEADLINE_MS},
        {FIELD(limits_row, retry_share, REAL), .least = 0, .most = 1},
        {FIELD(limits_row, drain_notice_ms, MS), .least = 0,
         .most = MAX_STOP_MS},
        {FIELD(limits_row, stop_limit_ms, MS), .least = 1,
         .most = MAX_STOP_MS},
        {FIELD(limits_row, placement, TEXT)},
    };
    const struct sas_toml *table = get_section(loader, "limits");
    struct limits_row row = {
        .body_limit_mb = DEFAULT_BODY_LIMIT,
        .bodies_limit_mb = DEFAULT_BODIES_LIMIT,
        .queue_wait_ms = DEFAULT_QUEUE_WAIT_MS,
        .retry_share = DEFAULT_RETRY_SHARE,
        .drain_notice_ms = DEFAULT_DRAIN_NOTICE_MS,
        .stop_limit_ms = DEFAULT_STOP_LIMIT_MS,
        .placement = g_strdup(""),
    };
    SasReader_ReadTable(&loader->reader, "limits", table, fields,
                        G_N_ELEMENTS(fields), &row);
    if (row.bodies_limit_mb < row.body_limit_mb) {
        SasReader_Complain(&loader->reader, get_line(table, "bodies_limit_mb"),
                           "limits", "bodies_limit_mb",
                           "less than one body of body_limit_mb");
    }
    if (row.stop_limit_ms < row.drain_notice_ms) {
        SasReader_Complain(&loader->reader, get_line(table, "stop_limit_ms"),
                           "limits", "stop_limit_ms",
                           "shorter than drain_notice_ms");
    }
    struct sas_settings *settings = loader->settings;
    settings->body_limit = row.body_limit_mb;
    settings->bodies_limit = row.bodies_limit_mb;
    settings->queue_wait_ms = row.queue_wait_ms;
    settings->retry_share = row.retry_share;
    settings->drain_notice_ms = row.drain_notice_ms;
    settings->stop_limit_ms = row.stop_limit_ms;
    settings->placement = row.placement;
}

static void
load_security(struct loader *loader)
{
    static const struct sas_field fields[] = {
        {FIELD(sas_settings, peer_key_file, TEXT)},
        {FIELD(sas_settings, admin_token_file, TEXT)},
    };
    SasReader_ReadTable(&loader->reader, "security",
                        get_section(loader, "security"), fields,
                        G_N_ELEMENTS(fields), loader->settings);
}

static void
load_log(struct loader *loader)
{
    struct log_row {
        char *level;
    };
    static const struct sas_field fields[] = {
        {FIELD(log_row, level, TEXT)},
    };
    const struct sas_toml *table = get_section(loader, "log");
    struct log_row row = {.level = g_strdup("info")};
    SasReader_ReadTable(&loader->reader, "log", table, fields,
                        G_N_ELEMENTS(fields), &row);
    loader->settings->log_level = row.level;
    if (SasLog_FindLevel(row.level) < 0) {
        SasReader_Complain(
            &loader->reader, get_line(table, "level"), "log", "level",
            "not one of error, warn, info, debug: \"%s\"", row.level);
    }
}

static bool
is_loopback(const struct sas_address *address)
{
    return g_str_has_prefix(address->ip, "127.") ||
           strcmp(address->ip, "::1") == 0;
}

/* Each kind of row must be there at least once. */
static void
check_presence(struct loader *loader)
{
    const struct sas_model *model = loader->model;
    const struct {
        const char *section;
        int count;
    } needed[] = {
        {"entry_vm", model->vm_count},
        {"service", model->service_count},
        {"backend_server", model->backend_count},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(needed); i++) {
        if (needed[i].count == 0) {
            SasReader_Complain(&loader->reader, 1, needed[i].section, NULL,
                               "at least one [[%s]] is needed",
                               needed[i].section);
        }
    }
}

/* Only a trial on one machine may do without the shared key and the token:
 * elsewhere anybody who reaches the ports could speak as a peer or as an
 * operator. */
static void
check_security(struct loader *loader)
{
    const struct sas_settings *settings = loader->settings;
    bool loopback = true;
    for (int i = 0; i < settings->model.vm_count; i++) {
        loopback = loopback && is_loopback(&settings->model.vms[i].caller);
    }
    if (loopback) {
        return;
    }
    int line = get_line(loader->document, "security");
    if (settings->peer_key_file == NULL && settings->model.vm_count > 1) {
        SasReader_Complain(&loader->reader, line, "security", "peer_key_file",
                           "missing; only on loopback can it be left out");
    }
    if (settings->admin_token_file == NULL) {
        SasReader_Complain(&loader->reader, line, "security",
                           "admin_token_file",
                           "missing; only on loopback can it be left out");
    }
}

/* Each process would have an embedded store of its own, with claims and
 * configurations that the others do not see. */
static void
check_embedded_store(struct loader *loader)
{
    if (loader->settings->embedded_store && loader->model->vm_count > 1) {
        const struct sas_toml *table = get_section(loader, "store");
        SasReader_Complain(&loader->reader, get_line(table, "embedded"),
                           "store", "embedded",
                           "true works with one entry VM only, here are %d",
                           loader->model->vm_count);
    }
}

/* Tables first that others refer to. */
static void
load_document(struct loader *loader)
{
    check_sections(loader);
    load_regions(loader);
    load_domains(loader);
    load_services(loader);
    load_deployment(loader);
    load_store(loader);
    load_links(loader);
    load_vms(loader);
    load_backends(loader);
    load_blocks(loader);
    load_limits(loader);
    load_security(loader);
    load_log(loader);
    check_presence(loader);
    check_security(loader);
    check_embedded_store(loader);
}
