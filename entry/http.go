package entry

import (
	"encoding/json"
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"github.com/coralstair/coralstair/fleet"
	"github.com/coralstair/coralstair/problem"
)

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (e *Entry) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	metrics.WritePrometheus(w, true)
	metrics.WriteGaugeUint64(w, "coralstair_revision", uint64(e.follower.Config().Revision))
	e.mu.Lock()
	defer e.mu.Unlock()
	for name, c := range e.controllers {
		metrics.WriteGaugeUint64(w, `coralstair_requests_waiting{service="`+name+`"}`, uint64(c.Waiting()))
	}
}

func (e *Entry) serveModels(w http.ResponseWriter, r *http.Request) {
	if _, ok := e.authenticate(w, r); !ok {
		return
	}
	cfg := e.follower.Config()
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, name := range cfg.ServiceNames() {
		if cfg.Services[name].Kind == fleet.KindModel {
			list.Data = append(list.Data, modelItem{ID: name, Object: "model", OwnedBy: cfg.Fleet})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}

// serveReady reports to the load balancer whether the entry takes requests.
func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if e.leaving.Load() || e.follower.Config().Revision == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (e *Entry) serveUnknown(w http.ResponseWriter, r *http.Request) {
	e.refuse(w, problem.New(http.StatusNotFound, "no-path", "no such path: "+r.URL.Path).WithOutcome("not-run"))
}
