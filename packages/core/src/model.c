#include "sas/model.h"

#include <glib.h>
#include <math.h>
#include <string.h>

/* Body of a Find function: searches a table by its rows' name. */
#define FIND_BY_NAME(table, count, wanted)                                    \
    do {                                                                      \
        for (int i = 0; i < (count); i++) {                                   \
            if (strcmp((table)[i].name, (wanted)) == 0) {                     \
                return i;                                                     \
            }                                                                 \
        }                                                                     \
        return SasModel_NONE;                                                 \
    } while (0)

void
SasModel_Free(struct sas_model *model)
{
    for (int i = 0; i < model->service_count; i++) {
        g_free(model->services[i].once_routes);
    }
    g_free(model->regions);
    g_free(model->domains);
    g_free(model->links);
    g_free(model->vms);
    g_free(model->services);
    g_free(model->backends);
    g_free(model->blocks);
    memset(model, 0, sizeof(*model));
}

int
SasModel_FindRegion(const struct sas_model *model, const char *name)
{
    FIND_BY_NAME(model->regions, model->region_count, name);
}

int
SasModel_FindDomain(const struct sas_model *model, const char *name)
{
    FIND_BY_NAME(model->domains, model->domain_count, name);
}

int
SasModel_FindVm(const struct sas_model *model, const char *name)
{
    FIND_BY_NAME(model->vms, model->vm_count, name);
}

int
SasModel_FindService(const struct sas_model *model, const char *name)
{
    FIND_BY_NAME(model->services, model->service_count, name);
}

int
SasModel_FindBackend(const struct sas_model *model, const char *name)
{
    FIND_BY_NAME(model->backends, model->backend_count, name);
}

int
SasModel_GetVmRegion(const struct sas_model *model, int vm)
{
    return model->domains[model->vms[vm].domain].region;
}

int
SasModel_GetBackendRegion(const struct sas_model *model, int backend)
{
    return model->domains[model->backends[backend].domain].region;
}

int
SasModel_CountBackends(const struct sas_model *model, int service, int region)
{
    int count = 0;
    for (int i = 0; i < model->backend_count; i++) {
        count += model->backends[i].service == service &&
                 SasModel_GetBackendRegion(model, i) == region;
    }
    return count;
}

int
SasModel_CountSlots(const struct sas_model *model, int service, int region)
{
    int slots = 0;
    for (int i = 0; i < model->backend_count; i++) {
        if (model->backends[i].service == service &&
            SasModel_GetBackendRegion(model, i) == region) {
            slots += model->backends[i].slots;
        }
    }
    return slots;
}

double
SasModel_GetLinkCapacity(const struct sas_model *model, int from, int to)
{
    for (int i = 0; i < model->link_count; i++) {
        if (model->links[i].from == from && model->links[i].to == to) {
            return model->links[i].mbit_per_s;
        }
    }
    return INFINITY;
}

bool
SasModel_IsAtMostOnceRoute(const struct sas_model *model, int service,
                           const char *path)
{
    const struct sas_service *row = &model->services[service];
    for (int i = 0; i < row->once_route_count; i++) {
        if (g_str_has_prefix(path, row->once_routes[i].prefix)) {
            return true;
        }
    }
    return false;
}
