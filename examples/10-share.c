/* Assigns callers to two targets by weighted rendezvous hashing: the same
 * callers always move first, and none moves back while a target's share rises.
 *
 *     10-share
 */
#include <inttypes.h>
#include <stdio.h>

#include "sas/lookup.h"

#define CALLERS 1000

int
main(void)
{
    static uint64_t keys[CALLERS];
    static uint16_t owners[CALLERS];
    static uint16_t before[CALLERS];
    struct sas_target targets[] = {{.id = 1, .weight = 1.0},
                                   {.id = 2, .weight = 0.0}};
    for (int i = 0; i < CALLERS; i++) {
        keys[i] = (uint64_t)i;
    }
    int went_back = 0;
    for (int percent = 0; percent <= 100; percent += 20) {
        targets[0].weight = (100 - percent) / 100.0;
        targets[1].weight = percent / 100.0;
        SasLookup_Assign(keys, CALLERS, targets, 2, owners);
        int moved = 0;
        for (int i = 0; i < CALLERS; i++) {
            moved += owners[i] == 1;
            went_back += before[i] == 1 && owners[i] == 0;
            before[i] = owners[i];
        }
        printf("%3d%% ordered: %4d of %d callers\n", percent, moved, CALLERS);
    }
    printf("went back: %d\n", went_back);
    return went_back;
}
