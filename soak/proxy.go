package soak

import (
	"fmt"
	"io"
	"strings"
	"sync"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/sirupsen/logrus"
)

// hop is a way between two parts on which connections can be harmed.
type hop struct {
	proxy *toxiproxy.Proxy
}

// quietProxies keeps the proxies' own log out of the test's.
var quietProxies = sync.OnceFunc(func() { logrus.SetOutput(io.Discard) })

// newHop opens a way from one address to another.
func newHop(name, from, to string) (*hop, error) {
	quietProxies()
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

// harm has one direction misbehave until healed.
func (h *hop) harm(kind, direction, attributes string) {
	text := fmt.Sprintf(`{"name":"harm-%s-%s","type":%q,"stream":%q,"toxicity":1.0,"attributes":{%s}}`,
		kind, direction, kind, direction, attributes)
	_, _ = h.proxy.Toxics.AddToxicJson(strings.NewReader(text))
}

// delay holds what goes one way up.
func (h *hop) delay(direction string, ms int) {
	h.harm("latency", direction, fmt.Sprintf(`"latency":%d,"jitter":%d`, ms, ms/4))
}

// silence lets nothing through one way, without a word.
func (h *hop) silence(direction string) { h.harm("timeout", direction, `"timeout":0`) }

// squeeze leaves so many kB a second.
func (h *hop) squeeze(direction string, rate int) {
	h.harm("bandwidth", direction, fmt.Sprintf(`"rate":%d`, rate))
}

// cut ends all connections and refuses new ones until healed.
func (h *hop) cut() { h.proxy.Stop() }

// heal ends all harm.
func (h *hop) heal() {
	h.proxy.Toxics.ResetToxics()
	_ = h.proxy.Start()
}

func (h *hop) close() { h.proxy.Stop() }
