package discovery

import "github.com/VictoriaMetrics/metrics"

var (
	configFaults   = metrics.NewCounter("coralstair_declared_faults_total")
	listFaults     = metrics.NewCounter("coralstair_list_faults_total")
	configRevision = metrics.NewGauge("coralstair_config_revision", nil)
	evacuatedSites = metrics.NewGauge("coralstair_evacuated_sites", nil)

	namingWrites    = metrics.NewCounter("coralstair_naming_writes_total")
	namingReadCount = metrics.NewCounter("coralstair_naming_reads_total")
)
