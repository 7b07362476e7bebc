at 11500
peak_within 64
