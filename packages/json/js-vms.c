#include "json/js-field.h"
#include "json/js.h"

struct vm_members {
	struct gb_str host;
	bool leaving;
};

static void clear_host(gpointer data);
static int read_vm(json_t *json, GArray *hosts, struct gb_error *err);

static const struct js_field fields[] = {
	{ .key = GB_STR_INIT("host"),
	  .read = js_read_str,
	  .offset = offsetof(struct vm_members, host),
	  .presence = JS_REQUIRED },
	{ .key = GB_STR_INIT("leaving"),
	  .read = js_read_bool,
	  .offset = offsetof(struct vm_members, leaving) },
};

static void clear_host(gpointer data)
{
	gb_str_free(data);
}

static int read_vm(json_t *json, GArray *hosts, struct gb_error *err)
{
	struct vm_members members = { 0 };
	struct gb_str host;

	if (js_read_object(json, GB_STR("vm"), fields, G_N_ELEMENTS(fields),
			   false, &members, err))
		return -1;
	if (!members.leaving)
		return 0;
	host = gb_str_dup(members.host);
	g_array_append_val(hosts, host);
	return 0;
}

GArray *js_leaving_hosts_decode(struct gb_str text, struct gb_error *err)
{
	json_t *json = js_parse(text, err);
	GArray *hosts;

	if (!json)
		return NULL;
	hosts = g_array_new(FALSE, FALSE, sizeof(struct gb_str));
	g_array_set_clear_func(hosts, clear_host);
	if (!json_is_array(json)) {
		gb_fail(err, GB_ERR_WRONG_TYPE, GB_STR("vms"), 0);
		goto fail;
	}
	for (size_t i = 0; i < json_array_size(json); i++)
		if (read_vm(json_array_get(json, i), hosts, err))
			goto fail;
	json_decref(json);
	return hosts;

fail:
	g_array_unref(hosts);
	json_decref(json);
	return NULL;
}
