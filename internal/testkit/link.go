package testkit

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"
)

// Link is a fault-injecting proxy in front of one address.
type Link struct {
	t          testing.TB
	proxy      *toxiproxy.Proxy
	mu         sync.Mutex
	toxicCount int
}

var proxyServer = toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())

// newLink listens on a port of ip and passes everything on to upstream.
func newLink(t testing.TB, name, ip, upstream string) *Link {
	t.Helper()
	l := &Link{t: t, proxy: toxiproxy.NewProxy(proxyServer, name, ip+":0", upstream)}
	if err := l.proxy.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.proxy.Stop)
	return l
}

// Address returns what to dial in place of the upstream.
func (l *Link) Address() string { return l.proxy.Listen }

// Cut closes all connections and refuses new ones: the other side is gone.
func (l *Link) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.proxy.Stop()
}

// Blackhole lets connections stand and dials succeed, and passes no byte: a
// partition, in which neither side learns that the other is out of reach.
func (l *Link) Blackhole() {
	l.addToxic("timeout", "upstream", `{"timeout":0}`)
	l.addToxic("timeout", "downstream", `{"timeout":0}`)
}

// BlackholeReplies lets requests through and no reply back. A close by the far
// side still shows.
func (l *Link) BlackholeReplies() { l.addToxic("timeout", "downstream", `{"timeout":0}`) }

// Delay holds back every byte of the replies for d, give or take jitter.
func (l *Link) Delay(d, jitter time.Duration) {
	l.addToxic("latency", "downstream", fmt.Sprintf(`{"latency":%d,"jitter":%d}`, d.Milliseconds(), jitter.Milliseconds()))
}

// CutAfter closes each connection once bytes of replies went through it.
func (l *Link) CutAfter(bytes int64) {
	l.addToxic("limit_data", "downstream", fmt.Sprintf(`{"bytes":%d}`, bytes))
}

func (l *Link) addToxic(kind, stream, attributes string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.toxicCount++
	text := fmt.Sprintf(`{"name":"%d","type":%q,"stream":%q,"attributes":%s}`, l.toxicCount, kind, stream, attributes)
	if _, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(text)); err != nil {
		l.t.Errorf("link %s: %v", l.proxy.Name, err)
	}
}

// Heal ends every fault of the link. Connections that were cut or held stay
// broken; new ones pass.
func (l *Link) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.proxy.Toxics.ResetToxics(l.t.Context())
	if err := l.proxy.Start(); err != nil && err != toxiproxy.ErrProxyAlreadyStarted {
		l.t.Errorf("link %s: %v", l.proxy.Name, err)
	}
}
