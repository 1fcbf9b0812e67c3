package box

import (
	"io"
	"net/http"
	"strconv"

	"github.com/VictoriaMetrics/metrics"

	"github.com/coralstair/coralstair/link"
	"github.com/coralstair/coralstair/membership"
	"github.com/coralstair/coralstair/weights"
)

const pathWeights = "/weights/"

// serveLink serves a link from an entry or another box.
func (b *Box) serveLink(w http.ResponseWriter, r *http.Request) {
	conn, err := link.Accept(w, r, b.pacer)
	if err != nil {
		b.log.WithError(err).Debug("box: link not taken")
		return
	}
	defer conn.Close()
	hello, err := b.handshake(conn)
	if err != nil {
		b.log.WithError(err).Debug("box: link not greeted")
		return
	}
	switch membership.Role(hello.Role) {
	case membership.RoleEntry:
		b.serveEntry(conn, hello)
	case membership.RoleBox:
		b.peers.run(conn, hello, hello.ID)
	}
}

func (b *Box) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	metrics.WritePrometheus(w, true)
	writeGauge(w, "coralstair_weights_held_bytes", b.store.Held())
	writeGauge(w, "coralstair_requests_in_progress", int64(b.gate.InFlight()))
	progress := b.transfer.Progress()
	writeGauge(w, "coralstair_origin_bytes_total", progress.OriginBytes)
	writeGauge(w, "coralstair_peer_bytes_total", progress.PeerBytes)
	writeGauge(w, "coralstair_given_bytes_total", progress.GivenBytes)
	writeGauge(w, "coralstair_chunks_rejected_total", int64(progress.Rejected))
	writeGauge(w, "coralstair_wasted_bytes_total", b.transfer.DiscardedBytes())
	writeGauge(w, "coralstair_revision", int64(b.follower.Config().Revision))
}

func (b *Box) serveReady(w http.ResponseWriter, _ *http.Request) {
	if _, open := b.gate.State(); !open {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// serveWeights sends the upstream the whole weights of a verified version.
func (b *Box) serveWeights(w http.ResponseWriter, r *http.Request) {
	digest, err := weights.ParseDigest(r.PathValue("digest"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	manifest, complete, _ := b.transfer.Complete(digest)
	if !complete {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Length", strconv.FormatInt(manifest.Size, 10))
	for _, chunk := range manifest.Chunks {
		data, ok := b.store.Chunk(chunk)
		if !ok {
			return
		}
		if _, err := w.Write(data); err != nil {
			return
		}
	}
}

func writeGauge(w io.Writer, name string, value int64) {
	metrics.WriteGaugeUint64(w, name, uint64(max(0, value)))
}
