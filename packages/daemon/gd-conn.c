#include "daemon/gd.h"

/* on_close.data of the request's socket points to its connection. */
struct gd_conn *gd_conn_of(const h2o_req_t *req)
{
	return req->conn->callbacks->get_socket(req->conn)->on_close.data;
}

void gd_http_mark_answered(const h2o_req_t *req)
{
	gd_conn_of(req)->answered_at = ht_now();
}
