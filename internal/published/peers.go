package published

import (
	"context"
	"sync"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/wait"
	"github.com/yuccadrift/yuccadrift/platform"
)

// A node that can't read the store asks other nodes for the configuration. It asks a few nodes at
// random, which costs each node the same however many there are; nodes that have got a newer
// configuration hand it on the same way. So it reaches all nodes that are connected by any path to
// one that reads the store. Nodes that read the store ask nobody.
const (
	// readOverdueAfter is the time since the last successful read after which other nodes are
	// asked: a read in order is answered within longPollWait.
	readOverdueAfter = longPollWait + 200*time.Millisecond
	// peersPerRound is how many nodes are asked at once. If a third of the nodes can't read the
	// store, one round in 27 finds only such nodes.
	peersPerRound = 3
	// roundInterval is the pause between two rounds. idleRoundInterval replaces it after a round
	// in which no node could read the store either: most likely it is down for all, and then
	// nobody can publish a configuration.
	roundInterval     = 200 * time.Millisecond
	idleRoundInterval = 600 * time.Millisecond
	peerTimeout       = 400 * time.Millisecond
)

// PeerConfig is the answer of another node.
type PeerConfig struct {
	// Record is the configuration as published, nil if the node has none newer than the version in
	// the request.
	Record []byte
	// ReadsStore is set if the node's reads of the store are in time.
	ReadsStore bool
}

// Peers are the other nodes.
type Peers interface {
	// Sample returns up to n addresses of other nodes.
	Sample(n int) []string
	// FetchConfig asks the node at address for a configuration newer than version.
	FetchConfig(ctx context.Context, address string, version int64) (PeerConfig, error)
}

// ConfigNewerThan returns what another node gets that has the given version.
func (f *Follower) ConfigNewerThan(version int64) PeerConfig {
	f.mu.Lock()
	defer f.mu.Unlock()
	answer := PeerConfig{ReadsStore: time.Since(f.lastReadAt) < readOverdueAfter}
	if f.config != nil && f.config.Version > version {
		answer.Record = f.configRecord
	}
	return answer
}

// RunPeerFetch asks other nodes for the configuration while reads of the store are overdue, until
// ctx ends.
func (f *Follower) RunPeerFetch(ctx context.Context, peers Peers) error {
	isOverdue := false
	for ctx.Err() == nil {
		untilOverdue := time.Until(f.LastReadAt().Add(readOverdueAfter))
		if untilOverdue > 0 {
			if isOverdue {
				isOverdue = false
				f.logger.Info("published changes can be read again")
			}
			wait.Pause(ctx, untilOverdue)
			continue
		}
		if !isOverdue {
			isOverdue = true
			f.logger.Warn("published changes can't be read in time, other nodes are asked for the configuration")
		}
		interval := idleRoundInterval
		if f.askPeers(ctx, peers) {
			interval = roundInterval
		}
		wait.Pause(ctx, interval)
	}
	return ctx.Err()
}

// askPeers asks some nodes for a newer configuration. It reports whether one of them reads the
// store, or had a newer configuration.
func (f *Follower) askPeers(ctx context.Context, peers Peers) bool {
	version := f.version()
	var mu sync.Mutex
	anyCurrent := false
	var asked sync.WaitGroup
	for _, address := range peers.Sample(peersPerRound) {
		asked.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, peerTimeout)
			defer cancel()
			answer, err := peers.FetchConfig(ctx, address, version)
			if err != nil {
				f.logger.Debug("node can't be asked for the configuration", "address", address, "error", err)
				return
			}
			if answer.Record != nil {
				f.applyFromPeer(address, answer.Record)
			}
			mu.Lock()
			defer mu.Unlock()
			anyCurrent = anyCurrent || answer.ReadsStore || answer.Record != nil
		})
	}
	asked.Wait()
	return anyCurrent
}

// version returns the version of the configuration in force, 0 before the first.
func (f *Follower) version() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.config == nil {
		return 0
	}
	return f.config.Version
}

func (f *Follower) applyFromPeer(address string, record []byte) {
	config, err := platform.DecodeConfig(record)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.logger.Error("configuration of another node can't be read, the last good state stays", "address", address, "error", err)
		return
	}
	f.applyConfig(config, record, address)
}
