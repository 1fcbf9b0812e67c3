package lab

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/coralstair/coralstair/weights"
)

const (
	treeFanout   = 2
	baselinePoll = 5 * time.Millisecond
)

// baselineBox is a box that downloads all chunks in order from one source: the origin or another box.
type baselineBox struct {
	box     *RigBox
	store   *weights.Store
	address string
	source  *baselineBox
	done    time.Duration
}

// baseline runs the experiment with a baseline policy over the same links and origin.
func (x *rollout) baseline(ctx context.Context) (RolloutResult, error) {
	_, manifest, err := x.rig.Publish(ctx, "v1", x.cfg.Size, x.cfg.ChunkSize, x.cfg.Seed)
	if err != nil {
		return RolloutResult{}, err
	}
	boxes, err := x.baselineBoxes()
	if err != nil {
		return RolloutResult{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, x.cfg.Limit)
	defer cancel()
	before := x.linkBytes()
	downloadedBefore := x.rig.Platform.Objects.DownloadedBytes()
	x.startedAt = time.Now()
	var wg sync.WaitGroup
	for _, b := range boxes {
		wg.Go(func() {
			if b.fetchAll(ctx, x.rig, manifest) {
				b.done = time.Since(x.startedAt)
			}
		})
	}
	wg.Wait()
	x.baselineResult(boxes, before, downloadedBefore)
	return x.result, nil
}

func (x *rollout) baselineBoxes() ([]*baselineBox, error) {
	boxes := make([]*baselineBox, 0, len(x.rig.Boxes))
	for i, rigBox := range x.rig.Boxes {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		b := &baselineBox{box: rigBox, store: weights.NewStore(0), address: listener.Addr().String()}
		x.rig.serve(rigBox.Link.Listener(listener), b)
		switch {
		case x.cfg.Policy == PolicyTree && i > 0:
			b.source = boxes[(i-1)/treeFanout]
		case x.cfg.Policy == PolicyChain && i > 0:
			b.source = boxes[i-1]
		}
		boxes = append(boxes, b)
	}
	return boxes, nil
}

func (x *rollout) baselineResult(boxes []*baselineBox, before map[string]int64, downloadedBefore int64) {
	x.result.AllServing = true
	for i := range boxes {
		served := 0
		for _, other := range boxes {
			if other.done > 0 && other.done <= boxes[i].done {
				served++
			}
		}
		x.result.AllServing = x.result.AllServing && boxes[i].done > 0
		if served == 1 {
			x.result.TimeToFirst = boxes[i].done.Seconds()
		}
		if served >= (len(boxes)+1)/2 && (x.result.TimeToHalf == 0 || boxes[i].done.Seconds() < x.result.TimeToHalf) {
			x.result.TimeToHalf = boxes[i].done.Seconds()
		}
		x.result.TimeToN = max(x.result.TimeToN, boxes[i].done.Seconds())
	}
	if !x.result.AllServing {
		x.result.TimeToN = time.Since(x.startedAt).Seconds()
	}
	x.result.TimeRatio = x.result.TimeToN / x.result.TimeBound
	for id, bytes := range x.linkBytes() {
		x.result.MaxBoxLinkCopies = max(x.result.MaxBoxLinkCopies, float64(bytes-before[id])/float64(x.cfg.Size))
	}
	x.result.OriginCopies = float64(x.rig.Platform.Objects.DownloadedBytes()-downloadedBefore) / float64(x.cfg.Size)
}

// ServeHTTP serves a chunk as soon as the box holds it.
func (b *baselineBox) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	digest, err := weights.ParseDigest(r.URL.Query().Get("digest"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for r.Context().Err() == nil {
		if data, ok := b.store.Chunk(digest); ok {
			w.Header().Set("Content-Length", strconv.Itoa(len(data)))
			_, _ = w.Write(data)
			return
		}
		time.Sleep(baselinePoll)
	}
}

func (b *baselineBox) fetchAll(ctx context.Context, rig *Rig, manifest weights.Manifest) bool {
	origin := rig.objects(b.box.Link.Dial)
	client := pooledClient(b.box.Link.Dial)
	for _, digest := range manifest.Chunks {
		for ctx.Err() == nil {
			var data []byte
			var err error
			if b.source == nil {
				data, err = origin.Get(ctx, weights.ChunkKey(digest))
			} else {
				data, err = b.source.get(ctx, client, digest)
			}
			if err == nil && b.store.Put(digest, data) == nil {
				break
			}
			time.Sleep(baselinePoll)
		}
	}
	return ctx.Err() == nil
}

func (b *baselineBox) get(ctx context.Context, client *http.Client, digest weights.Digest) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/?digest=%s", b.address, digest), nil)
	if err != nil {
		return nil, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	return io.ReadAll(resp.Body)
}
