package fill

import "github.com/VictoriaMetrics/metrics"

var (
	piecesFromSite       = metrics.NewCounter(`coralstair_pieces_total{source="site"}`)
	piecesFromOtherSites = metrics.NewCounter(`coralstair_pieces_total{source="other-site"}`)
	piecesFromOrigin     = metrics.NewCounter(`coralstair_pieces_total{source="origin"}`)
	piecesCorrupt        = metrics.NewCounter(`coralstair_pieces_total{source="bad"}`)
	piecesDuplicate      = metrics.NewCounter(`coralstair_pieces_total{source="twice"}`)
	piecesStaged         = metrics.NewCounter("coralstair_pieces_staged_total")
	pieceBytesUploaded   = metrics.NewCounter("coralstair_piece_bytes_given_total")
	ordersSent           = metrics.NewCounter("coralstair_orders_total")
	ordersFailed         = metrics.NewCounter("coralstair_orders_refused_total")
	reportsSent          = metrics.NewCounter("coralstair_reports_sent_total")
)
