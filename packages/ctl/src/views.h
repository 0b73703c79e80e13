/* views - compares the views of several entry VMs.
 *
 * A view is the JSON of an entry VM's /v1/view. Compared are the version of
 * the configuration, the backend servers and the entry VMs, each with its
 * state. Views normally differ for a second or two after a change; AGE is how
 * long ago an entry VM applied its configuration.
 */
#ifndef SAS_CTL_VIEWS_H
#define SAS_CTL_VIEWS_H

#include <jansson.h>

/* Prints one row for each view of the array and a table of the differences;
 * returns the number of differences. */
int SasViews_Print(const json_t *views);

/* Returns the differences: an array of {"what", "name", "states"}, where
 * states maps the name of each entry VM to the state that it reports. */
json_t *SasViews_Compare(const json_t *views);

#endif
