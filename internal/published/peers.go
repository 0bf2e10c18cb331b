package published

import (
	"context"
	"slices"
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
	// roundInterval is the pause between two rounds. idleRoundInterval replaces it after
	// maxEmptyRounds rounds in a row in which no node could read the store either: most likely it is
	// down for all, and then nobody can publish a configuration.
	roundInterval     = 200 * time.Millisecond
	idleRoundInterval = 600 * time.Millisecond
	maxEmptyRounds    = 3
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
	emptyRounds := 0
	reader := "" // a node that could read the store in the last round, "" if none is known
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
			isOverdue, emptyRounds = true, 0
			f.logger.Warn("published changes can't be read in time, other nodes are asked for the configuration")
		}
		var isCurrent bool
		if reader, isCurrent = f.askPeers(ctx, peers, reader); isCurrent {
			emptyRounds = 0
		} else {
			emptyRounds++
		}
		if emptyRounds < maxEmptyRounds {
			wait.Pause(ctx, roundInterval)
		} else {
			wait.Pause(ctx, idleRoundInterval)
		}
	}
	return ctx.Err()
}

// askPeers asks some nodes for a newer configuration, among them lastReader unless it is "". It returns one that
// could read the store, "" if none could, and whether one of them could or had a newer configuration.
func (f *Follower) askPeers(ctx context.Context, peers Peers, lastReader string) (reader string, anyCurrent bool) {
	version := f.Version()
	var mu sync.Mutex
	var asked sync.WaitGroup
	for _, address := range withReader(peers.Sample(peersPerRound), lastReader) {
		asked.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, peerTimeout)
			defer cancel()
			answer, err := peers.FetchConfig(ctx, address, version)
			if err != nil {
				f.logger.Debug("node can't be asked for the configuration", "address", address, "error", err)
				return
			}
			if answer.Record != nil {
				f.ApplyFromPeer(address, answer.Record)
			}
			mu.Lock()
			defer mu.Unlock()
			anyCurrent = anyCurrent || answer.ReadsStore || answer.Record != nil
			if answer.ReadsStore {
				reader = address
			}
		})
	}
	asked.Wait()
	return reader, anyCurrent
}

// withReader returns a sample of nodes that contains reader unless that is "". A node that is cut off may know mostly
// such nodes, and would otherwise find no other one in many rounds.
func withReader(sample []string, reader string) []string {
	if reader == "" || slices.Contains(sample, reader) {
		return sample
	}
	if len(sample) < peersPerRound {
		return append(sample, reader)
	}
	sample[len(sample)-1] = reader
	return sample
}

// Version returns the version of the configuration in force, 0 before the first.
func (f *Follower) Version() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.config == nil {
		return 0
	}
	return f.config.Version
}

// Changed returns a channel that is closed once a newer configuration is in force.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// ApplyFromPeer puts a configuration in force that the node at address has read, unless a newer one is.
func (f *Follower) ApplyFromPeer(address string, record []byte) {
	config, err := platform.DecodeConfig(record)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.rejections.Reject("configuration of node "+address, err)
		return
	}
	f.rejections.Accept("configuration of node " + address)
	f.applyConfig(config, record, address)
}
