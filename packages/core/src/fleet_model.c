#include "sas/fleet_model.h"

#include <string.h>

#include <jansson.h>

void
SasFleetModel_Init(struct sas_model *model, const struct sas_fleet *fleet)
{
    memset(model, 0, sizeof(*model));
    model->region_count = SasFleet_CountRegions(fleet);
    model->regions = g_new0(struct sas_region, model->region_count);
    model->domain_count = SasFleet_CountZones(fleet);
    model->domains = g_new0(struct sas_domain, model->domain_count);
    for (int i = 0; i < model->domain_count; i++) {
        const struct sas_zone *zone = SasFleet_GetZone(fleet, i);
        g_strlcpy(model->domains[i].name, zone->name,
                  sizeof(model->domains[i].name));
        model->domains[i].region = zone->region;
    }
    for (int i = 0; i < model->region_count; i++) {
        g_strlcpy(model->regions[i].name, SasFleet_GetRegionName(fleet, i),
                  sizeof(model->regions[i].name));
    }
}

/* A name that is too long stays empty, so the row can't be found: a sheet
 * can't hold such a name either. */
static void
copy_name(char *to, const char *name)
{
    if (strlen(name) < SasModel_NAME_SIZE) {
        g_strlcpy(to, name, SasModel_NAME_SIZE);
    }
}

static void
add_services(struct sas_model *model, const struct sas_fleet *fleet)
{
    int count = SasFleet_CountServices(fleet);
    if (count == model->service_count) {
        return;
    }
    model->services =
        g_renew(struct sas_service, model->services, (gsize)count);
    for (int i = model->service_count; i < count; i++) {
        memset(&model->services[i], 0, sizeof(model->services[i]));
        copy_name(model->services[i].name,
                  SasFleet_GetService(fleet, i)->name);
    }
    model->service_count = count;
}

static void
copy_facts(struct sas_backend *backend, const struct sas_fleet_server *server)
{
    backend->service = server->service;
    backend->domain = server->zone;
    backend->address = server->facts.address;
    backend->slots = server->facts.slots;
}

/* Rows of removed servers have no name and are reused; free_rows holds their
 * indices and may be NULL. */
static int
allocate_backend(struct sas_model *model, GArray *free_rows)
{
    if (free_rows != NULL && free_rows->len > 0) {
        int row = g_array_index(free_rows, int, free_rows->len - 1);
        g_array_set_size(free_rows, free_rows->len - 1);
        return row;
    }
    model->backends = g_renew(struct sas_backend, model->backends,
                              (gsize)model->backend_count + 1);
    return model->backend_count++;
}

static struct sas_backend *
add_backend(struct sas_model *model, GArray *free_rows, const char *name)
{
    int row = allocate_backend(model, free_rows);
    struct sas_backend *backend = &model->backends[row];
    memset(backend, 0, sizeof(*backend));
    copy_name(backend->name, name);
    return backend;
}

void
SasFleetModel_Add(struct sas_model *model, const struct sas_fleet *fleet)
{
    g_autoptr(GArray) free_rows = g_array_new(FALSE, FALSE, sizeof(int));
    g_autoptr(GArray) in_model = g_array_new(FALSE, TRUE, sizeof(bool));
    g_array_set_size(in_model, (guint)SasFleet_CountSlots(fleet) + 1);
    add_services(model, fleet);
    for (int i = 0; i < model->backend_count; i++) {
        struct sas_backend *backend = &model->backends[i];
        int slot = SasFleet_FindServer(fleet, backend->name);
        backend->slots = 0;
        if (slot != SasModel_NONE) {
            g_array_index(in_model, bool, slot) = true;
            copy_facts(backend, SasFleet_At(fleet, slot));
        }
        else if (backend->name[0] == '\0') {
            g_array_append_val(free_rows, i);
        }
    }
    for (int slot = 0; slot < SasFleet_CountSlots(fleet); slot++) {
        const struct sas_fleet_server *server = SasFleet_At(fleet, slot);
        if (server != NULL && !g_array_index(in_model, bool, slot)) {
            copy_facts(add_backend(model, free_rows, server->facts.id),
                       server);
        }
    }
}

static bool
is_named(const struct sas_config *config, int backend)
{
    for (int i = 0; config != NULL && i < config->sheet.row_count; i++) {
        const struct sas_sheet_row *row = &config->sheet.rows[i];
        if (row->drain_kind == SAS_DRAIN_BACKEND &&
            row->drain_target == backend) {
            return true;
        }
    }
    return false;
}

void
SasFleetModel_Refresh(struct sas_model *model, const struct sas_fleet *fleet,
                      const struct sas_config *config)
{
    SasFleetModel_Add(model, fleet);
    for (int i = 0; i < model->backend_count; i++) {
        if (model->backends[i].slots == 0 && !is_named(config, i)) {
            model->backends[i].name[0] = '\0';
        }
    }
}

void
SasFleetModel_AddVm(struct sas_model *model, const char *name, int domain)
{
    if (SasModel_FindVm(model, name) != SasModel_NONE ||
        model->vm_count >= SasFleetModel_MAX_VMS) {
        return;
    }
    model->vms =
        g_renew(struct sas_vm, model->vms, (gsize)model->vm_count + 1);
    struct sas_vm *vm = &model->vms[model->vm_count++];
    memset(vm, 0, sizeof(*vm));
    copy_name(vm->name, name);
    vm->domain = domain;
}

void
SasFleetModel_AddNames(struct sas_model *model, struct sas_fleet *fleet,
                       const char *json, size_t size)
{
    json_t *config = json_loadb(json, size, 0, NULL);
    size_t i;
    const json_t *row;
    json_array_foreach(json_object_get(config, "rows"), i, row)
    {
        const char *service =
            json_string_value(json_object_get(row, "service"));
        const char *drain = json_string_value(json_object_get(row, "drain"));
        if (service != NULL && service[0] != '\0') {
            SasFleet_AddService(fleet, service);
        }
        if (drain != NULL && drain[0] != '\0' &&
            SasModel_FindBackend(model, drain) == SasModel_NONE &&
            SasModel_FindVm(model, drain) == SasModel_NONE) {
            add_backend(model, NULL, drain);
        }
    }
    json_decref(config);
    add_services(model, fleet);
}
