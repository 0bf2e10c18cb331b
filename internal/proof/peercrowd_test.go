package proof_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net/http"
	"sync"
	"testing"
)

// Guards against peers' port as a way to end a node by memory: messages that stop just short of their end.
func TestNodeSurvivesUnfinishedMessagesOfPeers(t *testing.T) {
	const messageBytes, unfinishedMessages = 900_000, 120
	c, n := startCrowdedNode(t)
	pid := n.PID()
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
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
			transport := &http.Transport{Protocols: &protocols} // one connection each
			defer transport.CloseIdleConnections()
			if resp, err := transport.RoundTrip(req); err == nil {
				_ = resp.Body.Close()
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
