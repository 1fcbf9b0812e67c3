package forward

import (
	"strconv"

	"github.com/VictoriaMetrics/metrics"
)

var (
	heldRefused  = metrics.NewCounter("coralstair_held_bytes_refused_total")
	connections  = metrics.NewCounter("coralstair_upstream_connections_total")
	resumes      = metrics.NewCounter("coralstair_streams_resumed_total")
	panics       = metrics.NewCounter("coralstair_panics_total")
	serversEnded = metrics.NewCounter("coralstair_servers_ended_total")
	firstEvent   = metrics.NewHistogram("coralstair_first_event_seconds")
	answerTime   = metrics.NewHistogram("coralstair_answer_seconds")
	pushbacks    = metrics.NewCounter("coralstair_server_pushbacks_total")
	reportsTaken = metrics.NewCounter("coralstair_reports_taken_total")
)

func countOutcome(route, outcome string) {
	metrics.GetOrCreateCounter(`coralstair_direct_requests_total{route="` + route + `",outcome="` + outcome + `"}`).Inc()
}

// admissions counts admission's decisions on requests for model servers, by rank.
func admissions(rank int, admitted bool) *metrics.Counter {
	outcome := "refused"
	if admitted {
		outcome = "admitted"
	}
	return metrics.GetOrCreateCounter(`coralstair_admission_total{rank="` + strconv.Itoa(rank) + `",outcome="` + outcome + `"}`)
}

// responseEnds counts the checks of responses without a length or chunks by outcome.
func responseEnds(outcome string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`coralstair_response_ends_total{outcome="` + outcome + `"}`)
}

// handovers counts attempts started beside another one, by whether they took the request over.
func handovers(result string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`coralstair_handovers_total{result="` + result + `"}`)
}
