#include "node/nd-internal.h"

/*
 * Upstreams on hosts that leave, by the platform's list of VMs, are drained
 * like those that an operator drains, and an own VM that leaves gives its
 * units up. One member of the cell reads the list and tells the others, so
 * that the calls to the platform do not grow with the cell.
 */

/* The list lags by itself; upstreams are to be drained within seconds. */
#define LIST_PAUSE GB_SEC

static bool reads_list(const struct node *node);
static bool is_leaving(const struct node *node, struct gb_str host);
static bool same_hosts(const struct node *node, const struct gb_str *hosts,
		       uint32_t len);
static void take_hosts(struct node *node, const struct gb_str *hosts,
		       uint32_t len);
static void drain(struct node *node, struct cfg *cfg);
static void make_view(struct node *node);
static void fill(const struct node *node, struct msg *msg);

/* The live member with the lowest id reads the list. */
static bool reads_list(const struct node *node)
{
	return node->store.current && node->self >= 0 &&
	       !(node->live & ((1ULL << node->self) - 1));
}

void nd_leaving_tick(struct node *node)
{
	struct nd_leaving *leaving = &node->leaving;

	if (leaving->tag || node->clock.now < leaving->next ||
	    !reads_list(node))
		return;
	leaving->next = node->clock.now + LIST_PAUSE;
	leaving->tag = node->tag_next++;
	met_add(node->metrics, MET_STORE_READS, 1);
	node->ops->store_vms(node->ctx, leaving->tag);
}

static bool is_leaving(const struct node *node, struct gb_str host)
{
	char *text = gb_str_to_c(host);
	bool found = g_hash_table_contains(node->leaving.hosts, text);

	g_free(text);
	return found;
}

/* Tells whether this VM itself leaves. */
bool nd_leaving_self(const struct node *node)
{
	return is_leaving(node, cfg_vm(node->store.current, node->self)->host);
}

static bool same_hosts(const struct node *node, const struct gb_str *hosts,
		       uint32_t len)
{
	if (len != g_hash_table_size(node->leaving.hosts))
		return false;
	for (uint32_t i = 0; i < len; i++)
		if (!is_leaving(node, hosts[i]))
			return false;
	return true;
}

static void take_hosts(struct node *node, const struct gb_str *hosts,
		       uint32_t len)
{
	g_hash_table_remove_all(node->leaving.hosts);
	for (uint32_t i = 0; i < len; i++)
		g_hash_table_add(node->leaving.hosts, gb_str_to_c(hosts[i]));
	nd_event_plain(node, EV_VMS_LEAVING, len, 0);
	if (node->store.current)
		nd_leaving_follow(node);
}

static void drain(struct node *node, struct cfg *cfg)
{
	for (guint i = 0; i < cfg->services->len; i++) {
		const struct cfg_service *service = cfg_service(cfg, i);

		for (guint k = 0; k < service->shards->len; k++) {
			GArray *replicas = cfg_shard(service, k)->replicas;

			for (guint r = 0; r < replicas->len; r++) {
				struct cfg_replica *replica = &g_array_index(
					replicas, struct cfg_replica, r);

				if (is_leaving(node, replica->host))
					replica->draining = true;
			}
		}
	}
}

/* Makes the view that upstreams follow from configuration and list. */
static void make_view(struct node *node)
{
	cfg_unref(node->view);
	if (!g_hash_table_size(node->leaving.hosts)) {
		node->view = cfg_ref(node->store.current);
		return;
	}
	node->view = cfg_copy(node->store.current);
	drain(node, node->view);
}

/* Lets the upstreams follow the configuration and the list of VMs. */
void nd_leaving_follow(struct node *node)
{
	make_view(node);
	nd_warm_follow(node);
	nd_owner_follow(node);
}

static void fill(const struct node *node, struct msg *msg)
{
	GHashTableIter iter;
	gpointer key;

	msg->kind = MSG_LEAVING;
	msg->leaving.hosts =
		g_new(struct gb_str, g_hash_table_size(node->leaving.hosts));
	g_hash_table_iter_init(&iter, node->leaving.hosts);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		msg->leaving.hosts[msg->leaving.hosts_len++] =
			gb_str_from_c(key);
}

void nd_leaving_send(struct node *node, uint32_t vm)
{
	struct msg msg = { 0 };

	if (!reads_list(node) || !g_hash_table_size(node->leaving.hosts))
		return;
	fill(node, &msg);
	nd_send(node, vm, &msg);
	g_free(msg.leaving.hosts);
}

void nd_leaving_done(struct node *node, const struct nd_store_result *result)
{
	struct msg msg = { 0 };

	if (result->tag != node->leaving.tag)
		return;
	node->leaving.tag = 0;
	if (result->status != ND_STORE_OK ||
	    same_hosts(node, result->leaving, result->leaving_len))
		return;
	take_hosts(node, result->leaving, result->leaving_len);
	node->leaving.hlc = ev_clock_tick(&node->hlc, node->clock.wall_ms);
	fill(node, &msg);
	nd_send_all(node, &msg);
	g_free(msg.leaving.hosts);
}

/* An older list, from a member that read it before, must not come back. */
void nd_on_leaving(struct node *node, const struct msg *msg)
{
	const struct msg_leaving *leaving = &msg->leaving;

	if (msg->hlc <= node->leaving.hlc)
		return;
	node->leaving.hlc = msg->hlc;
	if (!same_hosts(node, leaving->hosts, leaving->hosts_len))
		take_hosts(node, leaving->hosts, leaving->hosts_len);
}
