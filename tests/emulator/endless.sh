at 7800
peak_within 160
