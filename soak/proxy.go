package soak

import (
	"fmt"
	"io"
	"strings"
	"sync"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/sirupsen/logrus"
)

// hop is a proxied network path on which faults can be injected.
type hop struct {
	proxy *toxiproxy.Proxy
}

// disableProxyLog keeps the proxies' log out of the test output.
var disableProxyLog = sync.OnceFunc(func() { logrus.SetOutput(io.Discard) })

// newHop starts a proxy that listens on from and forwards to to.
func newHop(name, from, to string) (*hop, error) {
	disableProxyLog()
	proxy := toxiproxy.NewProxy()
	proxy.Name, proxy.Listen, proxy.Upstream = name, from, to
	if err := proxy.Start(); err != nil {
		return nil, err
	}
	return &hop{proxy: proxy}, nil
}

// The directions of a hop.
const (
	toServer = "upstream"
	toCaller = "downstream"
)

func (h *hop) addToxic(kind, direction, attributes string) {
	text := fmt.Sprintf(`{"name":"harm-%s-%s","type":%q,"stream":%q,"toxicity":1.0,"attributes":{%s}}`,
		kind, direction, kind, direction, attributes)
	_, _ = h.proxy.Toxics.AddToxicJson(strings.NewReader(text))
}

// delay adds latency and jitter in one direction.
func (h *hop) delay(direction string, ms int) {
	h.addToxic("latency", direction, fmt.Sprintf(`"latency":%d,"jitter":%d`, ms, ms/4))
}

// blackhole drops all data in one direction and keeps the connections open.
func (h *hop) blackhole(direction string) { h.addToxic("timeout", direction, `"timeout":0`) }

// throttle limits one direction to a rate in kB/s.
func (h *hop) throttle(direction string, rate int) {
	h.addToxic("bandwidth", direction, fmt.Sprintf(`"rate":%d`, rate))
}

// disconnect closes all connections and refuses new ones until heal is called.
func (h *hop) disconnect() { h.proxy.Stop() }

// heal removes all faults.
func (h *hop) heal() {
	h.proxy.Toxics.ResetToxics()
	_ = h.proxy.Start()
}

func (h *hop) close() { h.proxy.Stop() }
