/* views - what several entry VMs believe, side by side.
 *
 * Each view is the JSON of an entry VM's /v1/view. Two of them differ in the
 * configuration's version, in which backend servers there are and what state
 * they are in, and in which entry VMs live. Small differences are normal for
 * a second or two; the ages say how old each belief is.
 */
#ifndef SAS_CTL_VIEWS_H
#define SAS_CTL_VIEWS_H

#include <jansson.h>

/* Prints a line for each view and a table of the differences; the number of
 * differences. views: array of views. */
int SasViews_Print(const json_t *views);

/* The differences, as an array of objects with what, name, and a member for
 * each entry VM. */
json_t *SasViews_Compare(const json_t *views);

#endif
