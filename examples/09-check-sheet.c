/* Checks a sheet against a settings file, without a running entry VM.
 *
 *     09-check-sheet examples/hottes.toml examples/hottes-morning.csv
 */
#include <glib.h>
#include <stdio.h>

#include "sas/settings.h"
#include "sas/sheet.h"

static int
check(const struct sas_settings *settings, const char *text, size_t size)
{
    struct sas_sheet sheet = {0};
    struct sas_sheet_error problem = {0};
    int64_t now_ms = g_get_real_time() / 1000;
    if (SasSheet_Parse(&sheet, &settings->model, text, size, now_ms,
                       settings->utc_offset_s, &problem) != 0 ||
        SasSheet_Check(&sheet, &settings->model, &problem) != 0) {
        printf("row %d, column %s: %s\n", problem.row, problem.column,
               problem.reason);
        SasSheet_Free(&sheet);
        return 1;
    }
    printf("%d intentions\n", sheet.row_count);
    SasSheet_Free(&sheet);
    return 0;
}

int
main(int argc, char **argv)
{
    struct sas_settings settings;
    struct sas_error error = {0};
    g_autofree char *text = NULL;
    gsize size = 0;
    if (argc != 3) {
        fprintf(stderr, "usage: %s SETTINGS SHEET\n", argv[0]);
        return 2;
    }
    if (!g_file_get_contents(argv[2], &text, &size, NULL)) {
        fprintf(stderr, "%s can't be read\n", argv[2]);
        return 2;
    }
    if (SasSettings_Load(&settings, argv[1], &error) != 0) {
        fprintf(stderr, "%s\n", error.text);
        return 2;
    }
    int status = check(&settings, text, size);
    SasSettings_Unload(&settings);
    return status;
}
