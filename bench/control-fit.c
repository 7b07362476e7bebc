#include "bench/control.h"

#include <malloc.h>
#include <math.h>
#include <stdio.h>
#include <time.h>

double bct_cpu(void)
{
	struct timespec now;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
	return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

double bct_allocated(void)
{
	struct mallinfo2 info = mallinfo2();

	return (double)info.uordblks + (double)info.hblkhd;
}

void bct_fit_add(struct bct_fit *fit, double x, double y)
{
	g_assert_cmpuint(fit->len, <, BCT_POINTS_MAX);
	fit->x[fit->len] = x;
	fit->y[fit->len++] = y;
}

/* The error of the slope is its standard error. */
void bct_fit_print(const struct bct_fit *fit)
{
	double n = fit->len, mx = 0, my = 0, sxx = 0, sxy = 0, rest = 0;
	double slope, base, error;

	for (uint32_t i = 0; i < fit->len; i++) {
		mx += fit->x[i] / n;
		my += fit->y[i] / n;
	}
	for (uint32_t i = 0; i < fit->len; i++) {
		sxx += (fit->x[i] - mx) * (fit->x[i] - mx);
		sxy += (fit->x[i] - mx) * (fit->y[i] - my);
	}
	if (fit->len < 3 || sxx <= 0)
		return;
	slope = sxy / sxx;
	base = my - slope * mx;
	for (uint32_t i = 0; i < fit->len; i++) {
		double d = fit->y[i] - base - slope * fit->x[i];

		rest += d * d;
	}
	error = sqrt(rest / (n - 2) / sxx);
	printf("  %-44.*s %12.4g + (%.4g +- %.2g) x, %u points\n",
	       (int)fit->name.len, fit->name.ptr, base, slope, error, fit->len);
}
