/* Settings: precedence, ranges, lists and error messages. */

#include <criterion/criterion.h>
#include <criterion/redirect.h>
#include <stdio.h>
#include <string.h>

#include "setting.h"

#define REQUIRED_FLAGS                                                         \
	"--vm-name=e1", "--address=127.0.0.1:7001", "--failure-domain=sando",  \
		"--http-listen=127.0.0.1:7000", "--platform=127.0.0.1:9000"

static struct settings s;

static int load(char **argv, char **env)
{
	static char *empty_env[] = { NULL };
	int argc = 0;

	while (argv[argc])
		argc++;
	return settings_load(&s, argc, argv, env ? env : empty_env);
}

static void finish(void)
{
	settings_finish(&s);
}

TestSuite(setting, .fini = finish, .timeout = 30);

Test(setting, flags_over_environment_over_defaults)
{
	char *argv[] = { "rosemaryd", REQUIRED_FLAGS, "--http-threads=7",
			 NULL };
	char *env[] = { "ROSEMARY_HTTP_THREADS=9", "ROSEMARY_HTTP_BODY=2048",
			"ROSEMARY_LOG_LEVEL=debug", "OTHER=1", NULL };

	cr_assert_eq(load(argv, env), 0);
	cr_assert_eq(s.http_threads, 7);
	cr_assert_eq(s.http_body, 2048);
	cr_assert_eq(s.target_threads, 4);
	cr_assert_eq(s.log_level, LOG_LEVEL_DEBUG);
	cr_assert_str_eq(s.kernel.vm_name, "e1");
	cr_assert_str_eq(s.peer_listen, "127.0.0.1:7001");
	cr_assert_eq(s.check_only, 0);
}

Test(setting, kernel_defaults_are_kept)
{
	char *argv[] = { "rosemaryd", REQUIRED_FLAGS, "--check", NULL };
	struct rp_options opt;

	rp_options_init(&opt);
	cr_assert_eq(load(argv, NULL), 0);
	cr_assert_eq(s.check_only, 1);
	cr_assert_eq(s.kernel.heartbeat, opt.heartbeat);
	cr_assert_eq(s.kernel.max_records, opt.max_records);
	cr_assert_str_eq(s.kernel.route, opt.route);
	cr_assert_gt(s.drain_limit, s.kernel.max_timeout,
		     "a planned stop must not cut a job short");
}

/* Every default of the kernel lies within the range in the table. */
Test(setting, kernel_defaults_are_in_range)
{
	size_t i;

	rp_options_init(&s.kernel);
	for (i = 0; i < setting_count; i++) {
		const struct setting *def = &setting_table[i];
		const char *field = (const char *)&s + def->offset;
		int64_t n = 0;

		if (def->default_text || def->max <= 0)
			continue;
		if (def->type == SETTING_INT)
			n = *(const int *)field;
		else if (def->type == SETTING_MS)
			n = *(const rp_ms *)field;
		else if (def->type == SETTING_SIZE)
			n = (int64_t) * (const size_t *)field;
		else
			continue;
		cr_assert(n >= def->min && n <= def->max, "%s is %lld",
			  def->name, (long long)n);
	}
}

Test(setting, lists_of_vms)
{
	char *argv[] = { "rosemaryd", REQUIRED_FLAGS,
			 "--entry-vm=e2=10.0.0.2:7,penal",
			 "--target=t1=10.0.0.3:8,sando,desk,slots=8,lookup,"
			 "void",
			 NULL };
	char *env[] = { "ROSEMARY_TARGET=t2=10.0.0.4:8,sando,desk  "
			"t3=10.0.0.5:8,penal,desk,connections=4",
			NULL };

	cr_assert_eq(load(argv, env), 0);
	cr_assert_eq(s.kernel.nseeds, 4);
	cr_assert_str_eq(s.vms[0].name, "t2");
	cr_assert_eq(s.vms[0].slots, 1);
	cr_assert_eq(s.vms[1].connections, 4);
	cr_assert_eq(s.vms[2].kind, RP_VM_ENTRY);
	cr_assert_str_eq(s.vms[2].failure_domain, "penal");
	cr_assert_eq(s.vms[3].slots, 8);
	cr_assert_eq(s.vms[3].can_lookup, 1);
	cr_assert_eq(s.vms[3].can_void, 1);
	cr_assert_eq(s.vms[2].can_void, 0);
}

static char *read_stderr(char *buf, size_t max)
{
	FILE *f = cr_get_redirected_stderr();
	size_t n;

	fflush(stderr);
	n = fread(buf, 1, max - 1, f);
	buf[n] = '\0';
	return buf;
}

Test(setting, all_errors_are_reported, .init = cr_redirect_stderr)
{
	char *argv[] = { "rosemaryd",
			 "--vm-name=e 1",
			 "--http-threads=0",
			 "--no-such-flag=1",
			 "--http-body=12x",
			 "--http-listen=1.2.3:4",
			 "--target=t1=1.2.3.4:5",
			 "--entry-vm=e1=1.2.3.4:99999,a",
			 "--log-level=loud",
			 "stray",
			 "--max-records=99999999999999999999",
			 NULL };
	char *env[] = { "ROSEMARY_TARGET_IDLE=-1", NULL };
	static const char *const want[] = {
		"vm-name: \"e 1\"",
		"vm-name: must be given",
		"http-threads: \"0\"",
		"--no-such-flag=1",
		"http-body: \"12x\"",
		"http-listen: \"1.2.3:4\"",
		"target: \"t1=1.2.3.4:5\"",
		"entry-vm: \"e1=1.2.3.4:99999,a\"",
		"log-level: \"loud\"",
		"unexpected argument \"stray\"",
		"max-records: \"99999999999999999999\"",
		"target-idle: \"-1\"",
		"failure-domain: must be given",
		"platform: must be given",
	};
	char text[8192];
	size_t i;

	cr_assert_eq(load(argv, env), EXIT_SETTING);
	read_stderr(text, sizeof(text));
	for (i = 0; i < sizeof(want) / sizeof(*want); i++)
		cr_assert_not_null(strstr(text, want[i]), "no \"%s\" in:\n%s",
				   want[i], text);
}

Test(setting, invalid_combinations, .init = cr_redirect_stderr)
{
	char *argv[] = { "rosemaryd",
			 REQUIRED_FLAGS,
			 "--http-connections=2",
			 "--http-threads=4",
			 "--peer-listen=127.0.0.1:7000",
			 "--max-timeout=1000",
			 NULL };
	char text[8192];

	cr_assert_eq(load(argv, NULL), EXIT_SETTING);
	read_stderr(text, sizeof(text));
	cr_assert_not_null(strstr(text, "http-connections: fewer"));
	cr_assert_not_null(strstr(text, "http-listen: the same"));
	cr_assert_not_null(strstr(text, "default-timeout: longer"));
}

Test(setting, unknown_policy_is_rejected, .init = cr_redirect_stderr)
{
	char *argv[] = { "rosemaryd", REQUIRED_FLAGS, "--route=none-such",
			 NULL };
	char text[1024];

	cr_assert_eq(load(argv, NULL), EXIT_SETTING);
	cr_assert_not_null(strstr(read_stderr(text, sizeof(text)), "none-"
								   "such"));
}

Test(setting, flag_without_value_is_rejected, .init = cr_redirect_stderr)
{
	char *argv[] = { "rosemaryd", REQUIRED_FLAGS, "--http-body", NULL };

	cr_assert_eq(load(argv, NULL), EXIT_SETTING);
}

Test(setting, names_and_addresses)
{
	cr_assert(setting_is_name("muscat-a"));
	cr_assert_not(setting_is_name(""));
	cr_assert_not(setting_is_name("a/b"));
	cr_assert_not(setting_is_name("0123456789012345678901234567890123456789"
				      "012345678901234567890123"));
	cr_assert(setting_is_address("10.1.2.3:65535"));
	cr_assert_not(setting_is_address("10.1.2.3:0"));
	cr_assert_not(setting_is_address("10.1.2.3:65536"));
	cr_assert_not(setting_is_address("10.1.2.3"));
	cr_assert_not(setting_is_address("10.1.2:1"));
	cr_assert_not(setting_is_address("host:1"));
	cr_assert_not(setting_is_address(":1"));
	cr_assert_not(setting_is_address(""));
}

Test(setting, numbers)
{
	int64_t n;

	cr_assert_eq(setting_parse_number("9223372036854775807", 0, INT64_MAX,
					  &n),
		     0);
	cr_assert_eq(setting_parse_number("9223372036854775808", 0, INT64_MAX,
					  &n),
		     -1);
	cr_assert_eq(setting_parse_number("+1", 0, 10, &n), -1);
	cr_assert_eq(setting_parse_number(" 1", 0, 10, &n), -1);
	cr_assert_eq(setting_parse_number("1 ", 0, 10, &n), -1);
	cr_assert_eq(setting_parse_number("", 0, 10, &n), -1);
	cr_assert_eq(setting_parse_number("11", 0, 10, &n), -1);
}
