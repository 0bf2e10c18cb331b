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

// newLink listens on a port of ip and forwards connections to upstream until the test ends.
func newLink(t testing.TB, name, ip, upstream string) *Link {
	t.Helper()
	l := &Link{t: t, proxy: toxiproxy.NewProxy(proxyServer, name, ip+":0", upstream)}
	if err := l.proxy.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.proxy.Stop)
	return l
}

// Address returns the address to dial instead of the upstream.
func (l *Link) Address() string { return l.proxy.Listen }

// Cut closes all connections and refuses new ones, as if the upstream had exited.
func (l *Link) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.proxy.Stop()
}

// Blackhole keeps connections open and accepts new ones but forwards no byte: a partition in which
// neither side notices that the other is unreachable.
func (l *Link) Blackhole() {
	l.addToxic("timeout", "upstream", `{"timeout":0}`)
	l.addToxic("timeout", "downstream", `{"timeout":0}`)
}

// BlackholeReplies forwards requests but no replies. The client still sees when the upstream
// closes a connection.
func (l *Link) BlackholeReplies() { l.addToxic("timeout", "downstream", `{"timeout":0}`) }

// Delay delays the replies by d, plus or minus jitter.
func (l *Link) Delay(d, jitter time.Duration) {
	l.addToxic("latency", "downstream", fmt.Sprintf(`{"latency":%d,"jitter":%d}`, d.Milliseconds(), jitter.Milliseconds()))
}

// CutAfter closes each connection once it has forwarded the given number of reply bytes.
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

// Heal ends all faults of the link. Connections that were cut or blackholed stay broken; new
// connections work.
func (l *Link) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.proxy.Toxics.ResetToxics(l.t.Context())
	if err := l.proxy.Start(); err != nil && err != toxiproxy.ErrProxyAlreadyStarted {
		l.t.Errorf("link %s: %v", l.proxy.Name, err)
	}
}
