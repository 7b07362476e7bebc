# The organisation beyond its limit is the largest by metrics.
at 12000
"$build/gentianctl" metrics -s "127.0.$net.1:8106" |
	sed -n '/^gentianbend_organisation_refused_total{/{s/ [0-9]*$//;p;q}'
