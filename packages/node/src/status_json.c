#include "status_json.h"

#include <math.h>

#include <glib.h>

json_t *
SasStatusJson_DescribeRegion(const struct sas_model *model, int service,
                             int region, double headroom)
{
    int slots = SasModel_CountSlots(model, service, region);
    int free_slots = (int)lround(headroom * slots);
    return json_pack("{s:s, s:s, s:i, s:i, s:i}", "service",
                     model->services[service].name, "region",
                     model->regions[region].name, "slots", slots, "running",
                     slots - free_slots, "headroom", free_slots);
}

json_t *
SasStatusJson_DescribeShift(const struct sas_model *model,
                            const struct sas_shift *shift)
{
    g_autofree char *cap =
        shift->cap_unit == SAS_CAP_NONE
            ? g_strdup("")
            : g_strdup_printf("%g %s", shift->cap,
                              SasSheet_GetUnitName(shift->cap_unit));
    return json_pack("{s:s, s:s, s:s, s:f, s:f, s:s, s:s}", "service",
                     model->services[shift->service].name, "from",
                     model->regions[shift->from].name, "to",
                     model->regions[shift->to].name, "ordered_percent",
                     shift->ordered * 100, "in_force_percent",
                     shift->in_force * 100, "cap", cap, "holding",
                     SasPlan_GetHoldName(shift->holding));
}
