package lab

import "net/http"

// Paths of the fake platform.
const (
	PathTable   = "/table"
	PathObjects = "/objects/"
	PathLive    = "/live"
)

// Platform serves all fake platform services behind one handler.
type Platform struct {
	Table   Table
	Objects Objects
	Live    LiveList
}

// Handler returns the HTTP handler of the platform.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(PathTable, &p.Table)
	mux.Handle(PathTable+"/", &p.Table)
	mux.Handle(PathObjects, http.StripPrefix("/objects", &p.Objects))
	mux.Handle(PathLive, &p.Live)
	mux.HandleFunc("/healthz", func(http.ResponseWriter, *http.Request) {})
	return mux
}
