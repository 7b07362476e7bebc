at 10500
peak_within 64
descriptors_within 450
