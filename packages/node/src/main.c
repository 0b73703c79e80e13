/* sassafrassilld - the daemon of an entry VM, in standalone or platform mode.
 */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

#include "platform_mode.h"
#include "node.h"
#include "sas/log.h"
#include "signals.h"

enum {
    EXIT_USAGE = 2
};

struct options {
    char *settings;
    char *platform;
    char *vm;
    char *log;
    gboolean check;
};

static int
fail(const char *text)
{
    fprintf(stderr, "sassafrassilld: %s\n", text);
    return EXIT_USAGE;
}

static int
run(const struct options *options)
{
    struct sas_settings settings;
    struct sas_error error = {0};
    if (SasSettings_Load(&settings, options->settings, &error) != 0) {
        return fail(error.text);
    }
    if (options->check) {
        printf("%s: ok\n", options->settings);
        SasSettings_Unload(&settings);
        return 0;
    }
    const char *name = options->vm;
    if (name == NULL && settings.model.vm_count == 1) {
        name = settings.model.vms[0].name;
    }
    if (name == NULL) {
        return fail("--vm NAME is needed: the file has several entry VMs");
    }
    int own_vm = SasSettings_FindVm(&settings, name, &error);
    if (own_vm == SasModel_NONE) {
        return fail(error.text);
    }
    if (SasLog_Open(name, options->log, settings.log_level, &error) != 0) {
        return fail(error.text);
    }
    int status = SasNode_Run(&settings, own_vm);
    SasLog_Close();
    SasSettings_Unload(&settings);
    return status;
}

int
main(int argc, char **argv)
{
    SasSignals_Block();
    struct options options = {0};
    const GOptionEntry entries[] = {
        {"settings", 's', 0, G_OPTION_ARG_FILENAME, &options.settings,
         "Run in standalone mode with these settings (TOML)", "FILE"},
        {"platform-settings", 'p', 0, G_OPTION_ARG_FILENAME, &options.platform,
         "Run in platform mode with these settings", "FILE"},
        {"vm", 'v', 0, G_OPTION_ARG_STRING, &options.vm,
         "This entry VM's name in the settings", "NAME"},
        {"log", 'l', 0, G_OPTION_ARG_FILENAME, &options.log,
         "Append the log to this file (default: standard error)", "FILE"},
        {"check-settings", 0, 0, G_OPTION_ARG_NONE, &options.check,
         "Check the settings and exit", NULL},
        {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL},
    };
    GOptionContext *context = g_option_context_new("- steer traffic");
    g_option_context_set_description(
        context, "Exit status: 0 stopped gracefully, 1 could not start, "
                 "2 wrong usage or settings, 3 requests were pending at the "
                 "shutdown deadline.\n");
    g_option_context_add_main_entries(context, entries, NULL);
    g_autoptr(GError) reason = NULL;
    bool parsed = g_option_context_parse(context, &argc, &argv, &reason);
    g_option_context_free(context);
    if (!parsed) {
        return fail(reason->message);
    }
    if ((options.settings == NULL) == (options.platform == NULL)) {
        return fail("one of --settings FILE and --platform-settings FILE is "
                    "needed; see --help");
    }
    int status = options.platform != NULL
                     ? SasPlatformMode_Run(options.platform, options.check)
                     : run(&options);
    g_free(options.platform);
    g_free(options.settings);
    g_free(options.vm);
    g_free(options.log);
    return status;
}
