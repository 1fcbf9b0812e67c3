package fill

import "github.com/VictoriaMetrics/metrics"

var (
	piecesNear   = metrics.NewCounter(`coralstair_pieces_total{source="site"}`)
	piecesFar    = metrics.NewCounter(`coralstair_pieces_total{source="other-site"}`)
	piecesDrawn  = metrics.NewCounter(`coralstair_pieces_total{source="origin"}`)
	piecesBad    = metrics.NewCounter(`coralstair_pieces_total{source="bad"}`)
	piecesTwice  = metrics.NewCounter(`coralstair_pieces_total{source="twice"}`)
	bytesGiven   = metrics.NewCounter("coralstair_piece_bytes_given_total")
	ordersGiven  = metrics.NewCounter("coralstair_orders_total")
	ordersFailed = metrics.NewCounter("coralstair_orders_refused_total")
	reportsSent  = metrics.NewCounter("coralstair_reports_sent_total")
)
