#include "matrix/mtx.h"

int mtx_report(const char *file)
{
	(void)file;
	return 2;
}
