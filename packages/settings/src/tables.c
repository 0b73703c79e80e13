#include "loader.h"

#include <arpa/inet.h>
#include <stdbool.h>
#include <string.h>

#define DEFAULT_CALLER_PORT 8000
#define DEFAULT_PEER_PORT 8001
#define DEFAULT_ADMIN_PORT 8002
#define DEFAULT_DEADLINE_MS 10000
#define DEFAULT_CONNECTIONS 330
#define MAX_SLOTS 100000
#define MAX_CONNECTIONS 1000000
#define MAX_MBIT_PER_S 10000000

/* A block and its line, for problems that are found after sorting. */
struct block_row {
    struct sas_block block;
    int line;
};

/* The default of a reference: the only row, or else SasModel_NONE, which makes
 * an absent reference a problem. */
static int
get_default_reference(int count)
{
    return count == 1 ? 0 : SasModel_NONE;
}

/* Without any [[region]], the model has one region, named "local". */
static void
load_regions(struct sas_loader *loader)
{
    static const struct sas_field fields[] = {
        {SasLoader_FIELD(sas_region, name, NAME), .required = true},
    };
    struct sas_model *model = loader->model;
    const struct sas_toml *rows = SasLoader_GetRows(loader, "region");
    int count =
        SasLoader_CountRows(loader, rows, "region", SasModel_MAX_REGIONS);
    model->regions = g_new0(struct sas_region, MAX(count, 1));
    for (int i = 0; i < count; i++) {
        const struct sas_toml *row = &rows->children[i];
        struct sas_region *region = &model->regions[model->region_count++];
        SasReader_ReadTable(&loader->reader, "region", row, fields,
                            G_N_ELEMENTS(fields), region);
        SasLoader_CheckUniqueName(loader, "region", region->name, row,
                                  "region");
    }
    if (count == 0) {
        g_strlcpy(model->regions[0].name, "local", SasModel_NAME_SIZE);
        model->region_count = 1;
    }
}

/* Without any [[failure_domain]], each region is a failure domain of the same
 * name. */
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
load_domains(struct sas_loader *loader)
{
    static const struct sas_field fields[] = {
        {SasLoader_FIELD(sas_domain, name, NAME), .required = true},
        {SasLoader_FIELD(sas_domain, region, REFERENCE), .required = true,
         .find = SasModel_FindRegion, .refers_to = "region"},
    };
    struct sas_model *model = loader->model;
    const struct sas_toml *rows = SasLoader_GetRows(loader, "failure_domain");
    int count = SasLoader_CountRows(loader, rows, "failure_domain",
                                    SasModel_MAX_DOMAINS);
    if (count == 0) {
        default_domains(model);
        return;
    }
    model->domains = g_new0(struct sas_domain, count);
    for (int i = 0; i < count; i++) {
        const struct sas_toml *row = &rows->children[i];
        struct sas_domain *domain = &model->domains[model->domain_count++];
        domain->region = get_default_reference(model->region_count);
        SasReader_ReadTable(&loader->reader, "failure_domain", row, fields,
                            G_N_ELEMENTS(fields), domain);
        SasLoader_CheckUniqueName(loader, "failure domain", domain->name, row,
                                  "failure_domain");
    }
}

static void
load_links(struct sas_loader *loader)
{
    static const struct sas_field fields[] = {
        {SasLoader_FIELD(sas_link, from, REFERENCE), .required = true,
         .find = SasModel_FindRegion, .refers_to = "region"},
        {SasLoader_FIELD(sas_link, to, REFERENCE), .required = true,
         .find = SasModel_FindRegion, .refers_to = "region"},
        {SasLoader_FIELD(sas_link, mbit_per_s, REAL), .required = true,
         .min = 0.001, .max = MAX_MBIT_PER_S},
    };
    struct sas_model *model = loader->model;
    const struct sas_toml *rows = SasLoader_GetRows(loader, "link");
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
            SasReader_AddProblem(&loader->reader, SasLoader_GetLine(row, "to"),
                                 "link", "to", "the same region as from");
        }
        g_autofree char *regions =
            g_strdup_printf("from %s to %s", model->regions[link->from].name,
                            model->regions[link->to].name);
        SasLoader_CheckUnique(loader, "link", regions, row->line, "link",
                              NULL);
    }
}

static void
load_vms(struct sas_loader *loader)
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
        {SasLoader_FIELD(vm_row, name, NAME), .required = true},
        {SasLoader_FIELD(vm_row, failure_domain, REFERENCE), .required = true,
         .find = SasModel_FindDomain, .refers_to = "failure domain"},
        {SasLoader_FIELD(vm_row, ip, IP), .required = true},
        {SasLoader_FIELD(vm_row, caller_port, INTEGER), .min = 1,
         .max = SasLoader_MAX_PORT},
        {SasLoader_FIELD(vm_row, peer_port, INTEGER), .min = 1,
         .max = SasLoader_MAX_PORT},
        {SasLoader_FIELD(vm_row, admin_port, INTEGER), .min = 1,
         .max = SasLoader_MAX_PORT},
    };
    struct sas_model *model = loader->model;
    const struct sas_toml *rows = SasLoader_GetRows(loader, "entry_vm");
    model->vms = g_new0(struct sas_vm, rows->child_count);
    for (int i = 0; i < rows->child_count; i++) {
        const struct sas_toml *table = &rows->children[i];
        struct vm_row row = {
            .failure_domain = get_default_reference(model->domain_count),
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
        /* Entry VMs and backend servers share one kind of name, because a
         * drain order may name either. */
        SasLoader_CheckUniqueName(loader, "server", vm->name, table,
                                  "entry_vm");
        SasLoader_CheckUniqueAddress(loader, &vm->caller, table, "entry_vm",
                                     "caller_port");
        SasLoader_CheckUniqueAddress(loader, &vm->peer, table, "entry_vm",
                                     "peer_port");
        SasLoader_CheckUniqueAddress(loader, &vm->admin, table, "entry_vm",
                                     "admin_port");
    }
}

static void
load_once_routes(struct sas_loader *loader, struct sas_service *service,
                 const struct sas_toml *once)
{
    service->once_routes = g_new0(struct sas_once_route, once->child_count);
    for (int i = 0; i < once->child_count; i++) {
        const struct sas_toml *value = &once->children[i];
        bool is_path = value->type == SasToml_STRING &&
                       value->text[0] == '/' &&
                       strpbrk(value->text, "?# ") == NULL;
        if (!is_path) {
            SasReader_AddProblem(
                &loader->reader, value->line, "service", "once",
                "each must be a path that starts with / and has "
                "no ?, # or space");
            continue;
        }
        struct sas_once_route *route =
            &service->once_routes[service->once_route_count++];
        if (g_strlcpy(route->prefix, value->text, sizeof(route->prefix)) >=
            sizeof(route->prefix)) {
            SasReader_AddProblem(&loader->reader, value->line, "service",
                                 "once", "longer than %zu bytes: \"%s\"",
                                 sizeof(route->prefix) - 1, value->text);
        }
    }
}

static void
load_services(struct sas_loader *loader)
{
    struct service_row {
        char name[SasModel_NAME_SIZE];
        int64_t deadline_ms;
        const struct sas_toml *once;
    };
    static const struct sas_field fields[] = {
        {SasLoader_FIELD(service_row, name, NAME), .required = true},
        {SasLoader_FIELD(service_row, deadline_ms, MS), .min = 1,
         .max = SasLoader_MAX_DEADLINE_MS},
        {SasLoader_FIELD(service_row, once, ARRAY)},
    };
    struct sas_model *model = loader->model;
    const struct sas_toml *rows = SasLoader_GetRows(loader, "service");
    int count =
        SasLoader_CountRows(loader, rows, "service", SasModel_MAX_SERVICES);
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
        SasLoader_CheckUniqueName(loader, "service", service->name, table,
                                  "service");
    }
}

static void
load_backends(struct sas_loader *loader)
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
        {SasLoader_FIELD(backend_row, name, NAME), .required = true},
        {SasLoader_FIELD(backend_row, service, REFERENCE), .required = true,
         .find = SasModel_FindService, .refers_to = "service"},
        {SasLoader_FIELD(backend_row, failure_domain, REFERENCE),
         .required = true, .find = SasModel_FindDomain,
         .refers_to = "failure domain"},
        {SasLoader_FIELD(backend_row, ip, IP), .required = true},
        {SasLoader_FIELD(backend_row, port, INTEGER), .required = true,
         .min = 1, .max = SasLoader_MAX_PORT},
        {SasLoader_FIELD(backend_row, slots, INTEGER), .required = true,
         .min = 1, .max = MAX_SLOTS},
        {SasLoader_FIELD(backend_row, connections, INTEGER), .min = 1,
         .max = MAX_CONNECTIONS},
    };
    struct sas_model *model = loader->model;
    const struct sas_toml *rows = SasLoader_GetRows(loader, "backend_server");
    model->backends = g_new0(struct sas_backend, rows->child_count);
    for (int i = 0; i < rows->child_count; i++) {
        const struct sas_toml *table = &rows->children[i];
        struct backend_row row = {
            .service = get_default_reference(model->service_count),
            .failure_domain = get_default_reference(model->domain_count),
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
            SasReader_AddProblem(&loader->reader,
                                 SasLoader_GetLine(table, "connections"),
                                 "backend_server", "connections",
                                 "%d connections can't fill %d slots",
                                 row.connections, row.slots);
        }
        SasLoader_CheckUniqueName(loader, "server", backend->name, table,
                                  "backend_server");
        SasLoader_CheckUniqueAddress(loader, &backend->address, table,
                                     "backend_server", "port");
    }
}

/* Converts "10.1.0.0/16" to a block; false if it is not IPv4 in this form or
 * has bits set after the prefix. */
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

/* Returns an unsorted array of struct block_row. */
static GArray *
read_blocks(struct sas_loader *loader)
{
    struct network_row {
        char *network;
        int home;
    };
    static const struct sas_field fields[] = {
        {SasLoader_FIELD(network_row, network, TEXT), .required = true},
        {SasLoader_FIELD(network_row, home, REFERENCE), .required = true,
         .find = SasModel_FindRegion, .refers_to = "region"},
    };
    const struct sas_toml *rows = SasLoader_GetRows(loader, "block");
    GArray *blocks = g_array_new(FALSE, FALSE, sizeof(struct block_row));
    for (int i = 0; i < rows->child_count; i++) {
        const struct sas_toml *table = &rows->children[i];
        struct network_row row = {
            .home = get_default_reference(loader->model->region_count)};
        SasReader_ReadTable(&loader->reader, "block", table, fields,
                            G_N_ELEMENTS(fields), &row);
        struct block_row block = {.line = table->line};
        block.block.home = row.home;
        if (row.network != NULL && !parse_network(row.network, &block.block)) {
            SasReader_AddProblem(
                &loader->reader, SasLoader_GetLine(table, "network"), "block",
                "network", "not a network such as 10.1.0.0/16: \"%s\"",
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
load_blocks(struct sas_loader *loader)
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
        const struct sas_block *previous =
            i == 0 ? NULL : &model->blocks[i - 1];
        if (previous != NULL && previous->network == row->block.network &&
            previous->prefix_length == row->block.prefix_length) {
            SasReader_AddProblem(&loader->reader, row->line, "block",
                                 "network",
                                 "the same network as another block");
        }
    }
}

/* In the order of references: a table is loaded after those it refers to. */
void
SasLoader_LoadTables(struct sas_loader *loader)
{
    load_regions(loader);
    load_domains(loader);
    load_services(loader);
    load_links(loader);
    load_vms(loader);
    load_backends(loader);
    load_blocks(loader);
}
