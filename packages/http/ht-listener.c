#include "http/ht-listener.h"

#include <errno.h>
#include <glib.h>
#include <linux/filter.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

/* Offset of the flags in a TCP header, with which the filtered bytes begin. */
#define TCP_FLAGS_OFFSET 13

int ht_listener_drop_attempts(uv_tcp_t *listener)
{
	/*
	 * Connections that are accepted later inherit the filter, so it passes
	 * all segments but those that open a connection.
	 */
	static struct sock_filter drop_syn[] = {
		BPF_STMT(BPF_LD | BPF_B | BPF_ABS, TCP_FLAGS_OFFSET),
		BPF_STMT(BPF_ALU | BPF_AND | BPF_K, TH_SYN | TH_ACK),
		BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, TH_SYN, 0, 1),
		BPF_STMT(BPF_RET | BPF_K, 0),
		BPF_STMT(BPF_RET | BPF_K, UINT32_MAX),
	};
	const struct sock_fprog program = { .len = G_N_ELEMENTS(drop_syn),
					    .filter = drop_syn };
	uv_os_fd_t fd;
	int ret = uv_fileno((const uv_handle_t *)listener, &fd);

	if (ret)
		return ret;
	if (setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program,
		       sizeof(program)))
		return uv_translate_sys_error(errno);
	return 0;
}
