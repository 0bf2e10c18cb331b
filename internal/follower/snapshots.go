package follower

import (
	"bytes"
	"context"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/platform"
)

// A snapshot is split into parts that fit an entry of the log. Each part starts
// with partMagic, a hash over the whole snapshot, the part's index and the
// number of parts.
const (
	partMagic      = "yd-part-1\n"
	partHeaderSize = len(partMagic) + 8 + 2 + 2
	maxPartData    = platform.MaxEntryBytes - partHeaderSize
	// maxParts limits the parts of a snapshot. maxScanEntries limits the
	// entries scanned for one: the parts of two snapshots published at the same
	// time, and a few more.
	maxParts       = 64
	maxScanEntries = 3 * maxParts
)

// snapshotStore reads and writes the stream of snapshots.
type snapshotStore struct {
	log    platform.Log
	stream string
}

// part is one part of a snapshot.
type part struct {
	id          uint64
	index, size int
	data        []byte
}

func splitSnapshot(snapshot []byte) ([][]byte, error) {
	count := (len(snapshot) + maxPartData - 1) / maxPartData
	if count > maxParts {
		return nil, errors.Errorf("a snapshot of %d bytes is too large", len(snapshot))
	}
	id := xxhash.Sum64(snapshot)
	var parts [][]byte
	for i := range count {
		var b bytes.Buffer
		b.WriteString(partMagic)
		b.Write(binary.BigEndian.AppendUint64(nil, id))
		b.Write(binary.BigEndian.AppendUint16(nil, uint16(i)))
		b.Write(binary.BigEndian.AppendUint16(nil, uint16(count)))
		b.Write(snapshot[i*maxPartData : min((i+1)*maxPartData, len(snapshot))])
		parts = append(parts, b.Bytes())
	}
	return parts, nil
}

func parsePart(entry []byte) (part, bool) {
	if len(entry) < partHeaderSize || string(entry[:len(partMagic)]) != partMagic {
		return part{}, false
	}
	head := entry[len(partMagic):]
	p := part{
		id:    binary.BigEndian.Uint64(head),
		index: int(binary.BigEndian.Uint16(head[8:])),
		size:  int(binary.BigEndian.Uint16(head[10:])),
		data:  entry[partHeaderSize:],
	}
	return p, p.size >= 1 && p.size <= maxParts && p.index < p.size
}

// assembly collects the parts of several snapshots by hash until one is
// complete.
type assembly map[uint64]map[int][]byte

// add returns the snapshot that the entry completes, or nil.
func (a assembly) add(entry []byte) []byte {
	p, ok := parsePart(entry)
	if !ok {
		return nil
	}
	if a[p.id] == nil {
		a[p.id] = map[int][]byte{}
	}
	a[p.id][p.index] = p.data
	if len(a[p.id]) < p.size {
		return nil
	}
	var whole []byte
	for i := range p.size {
		whole = append(whole, a[p.id][i]...)
	}
	if xxhash.Sum64(whole) != p.id {
		return nil
	}
	return whole
}

// bounds returns the retained range of the stream.
func (s snapshotStore) bounds(ctx context.Context) (first, next platform.Offset, err error) {
	batch, err := s.read(ctx, 1)
	return batch.First, batch.Next, err
}

// read returns at most one entry, none if it was trimmed or not yet appended.
func (s snapshotStore) read(ctx context.Context, at platform.Offset) (platform.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	batch, err := s.log.Read(ctx, s.stream, at, 1, 0)
	if errors.Is(err, platform.ErrTrimmed) {
		err = nil
	}
	return batch, err
}

// NewestSnapshot returns the newest complete snapshot of a stream, or nil if
// there is none.
func NewestSnapshot(ctx context.Context, log platform.Log, stream string) ([]byte, error) {
	return snapshotStore{log: log, stream: stream}.newest(ctx)
}

// newest returns the newest complete snapshot of the stream, or nil if there is
// none. Corrupt and incomplete snapshots are skipped.
func (s snapshotStore) newest(ctx context.Context) ([]byte, error) {
	first, next, err := s.bounds(ctx)
	if err != nil {
		return nil, err
	}
	parts := assembly{}
	for at := next; at > first && next-at < maxScanEntries; at-- {
		entry, err := s.entry(ctx, at-1)
		if err != nil {
			return nil, err
		}
		if snapshot := parts.add(entry); snapshot != nil {
			return snapshot, nil
		}
	}
	return nil, nil
}

// entry returns one entry, nil if it was trimmed meanwhile.
func (s snapshotStore) entry(ctx context.Context, at platform.Offset) ([]byte, error) {
	batch, err := s.read(ctx, at)
	if err != nil || len(batch.Entries) == 0 {
		return nil, err
	}
	return batch.Entries[0].Data, nil
}

// append appends a snapshot. The parts of two nodes may interleave; they are
// told apart by the snapshot's hash.
func (s snapshotStore) append(ctx context.Context, snapshot []byte) error {
	parts, err := splitSnapshot(snapshot)
	if err != nil {
		return err
	}
	for _, p := range parts {
		if _, err := s.log.Append(ctx, s.stream, [][]byte{p}); err != nil {
			return err
		}
	}
	return nil
}
