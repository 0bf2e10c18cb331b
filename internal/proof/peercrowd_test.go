package proof_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"golang.org/x/net/http2"
)

// Guards against peers' port as a way to end a node by memory: messages that stop just short of their end.
func TestNodeSurvivesUnfinishedMessagesOfPeers(t *testing.T) {
	const messageBytes, unfinishedMessages = 900_000, 120
	c, n := startCrowdedNode(t)
	pid := n.PID()
	transport := &http2.Transport{AllowHTTP: true, DialTLSContext: func(ctx context.Context, network, address string, _ *tls.Config) (net.Conn, error) {
		var d net.Dialer
		return d.DialContext(ctx, network, address)
	}}
	var sent, ended sync.WaitGroup
	ctx, cancel := context.WithCancel(t.Context())
	defer ended.Wait()
	defer cancel()
	for range unfinishedMessages {
		sent.Add(1)
		ended.Go(func() {
			prefix := binary.BigEndian.AppendUint32([]byte{0}, messageBytes)
			message := bytes.NewReader(append(prefix, make([]byte, messageBytes-10)...))
			body := &stalledBody{Reader: message, atEnd: sync.OnceFunc(sent.Done), ctx: ctx}
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.Peers+"/yuccadrift.Node/Store", body)
			if err != nil {
				panic(err)
			}
			req.Header.Set("Content-Type", "application/grpc+json")
			req.Header.Set("Te", "trailers")
			conn, err := transport.DialTLSContext(ctx, "tcp", n.Peers, nil)
			if err == nil {
				defer conn.Close()
				var client *http2.ClientConn
				if client, err = transport.NewClientConn(conn); err == nil {
					if resp, err := client.RoundTrip(req); err == nil {
						_ = resp.Body.Close()
					}
				}
			}
			body.atEnd() // the node may close the connection before
		})
	}
	sent.Wait()
	awaitRead(t, n.Peers)
	checkSurvival(t, c, n, pid)
}

// stalledBody calls atEnd at its end and then blocks until ctx ends.
type stalledBody struct {
	io.Reader
	atEnd func()
	ctx   context.Context
}

func (b *stalledBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		b.atEnd()
		<-b.ctx.Done()
	}
	return n, err
}
