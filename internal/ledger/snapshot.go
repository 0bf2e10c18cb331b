package ledger

import (
	"bytes"
	"compress/gzip"
	"encoding/binary"
	"encoding/json"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/document"
)

// A snapshot is a header followed by the state as gzipped JSON. The header
// holds the format, the state's offset and its digest, big-endian, so that the
// newest of several snapshots is found without decompressing them.
const (
	snapshotFormat     = "yd-state-1\n"
	snapshotHeaderSize = len(snapshotFormat) + 8 + 8
	// maxDecompressedBytes limits a snapshot's JSON to about ten times the size
	// needed by the largest supported fleet, so that a corrupt length cannot
	// exhaust the memory.
	maxDecompressedBytes = 256 << 20
)

// ErrSnapshot means that the data is not a snapshot that this build can use.
var ErrSnapshot = errors.New("not a usable snapshot")

// Digest returns a hash over the whole state. Nodes at the same offset have the
// same digest; a difference means a bug in the fold or corrupt memory. It
// encodes the state, which takes milliseconds.
func (s *State) Digest() (uint64, error) {
	data, err := json.Marshal(s)
	return xxhash.Sum64(data), errors.Wrap(err, "encode state")
}

// EncodeSnapshot encodes the state as a snapshot.
func EncodeSnapshot(s *State) ([]byte, error) {
	data, err := json.Marshal(s) // maps are encoded in key order, so equal states give equal bytes
	if err != nil {
		return nil, errors.Wrap(err, "encode state")
	}
	out := bytes.NewBuffer(make([]byte, 0, len(data)/8+snapshotHeaderSize))
	out.WriteString(snapshotFormat)
	out.Write(binary.BigEndian.AppendUint64(nil, s.Offset))
	out.Write(binary.BigEndian.AppendUint64(nil, xxhash.Sum64(data)))
	zip, err := gzip.NewWriterLevel(out, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress state")
	}
	if _, err := zip.Write(data); err != nil {
		return nil, errors.Wrap(err, "compress state")
	}
	if err := zip.Close(); err != nil {
		return nil, errors.Wrap(err, "compress state")
	}
	return out.Bytes(), nil
}

// SnapshotOffset returns the offset in the header of a snapshot.
func SnapshotOffset(data []byte) (uint64, error) {
	if len(data) < snapshotHeaderSize || string(data[:len(snapshotFormat)]) != snapshotFormat {
		return 0, errors.Wrap(ErrSnapshot, "unknown format")
	}
	return binary.BigEndian.Uint64(data[len(snapshotFormat):]), nil
}

// DecodeSnapshot is the inverse of EncodeSnapshot: the decoded state has the
// same digest and folds the same records to the same outcomes. All errors wrap
// ErrSnapshot.
func DecodeSnapshot(data []byte) (*State, error) {
	offset, err := SnapshotOffset(data)
	if err != nil {
		return nil, err
	}
	text, err := decompress(data[snapshotHeaderSize:])
	if err != nil {
		return nil, errors.Wrap(ErrSnapshot, err.Error())
	}
	if xxhash.Sum64(text) != binary.BigEndian.Uint64(data[len(snapshotFormat)+8:]) {
		return nil, errors.Wrap(ErrSnapshot, "digest does not match the content")
	}
	s := New()
	if err := json.Unmarshal(text, s); err != nil {
		return nil, errors.Wrap(ErrSnapshot, err.Error())
	}
	if s.Offset != offset {
		return nil, errors.Wrap(ErrSnapshot, "offset does not match the content")
	}
	if err := s.parseDocuments(); err != nil {
		return nil, errors.Wrap(ErrSnapshot, err.Error())
	}
	s.rebuildIndexes()
	return s, nil
}

func decompress(data []byte) ([]byte, error) {
	zip, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	text, err := io.ReadAll(io.LimitReader(zip, maxDecompressedBytes+1))
	if err == nil && len(text) > maxDecompressedBytes {
		err = errors.Errorf("more than %d bytes", maxDecompressedBytes)
	}
	return text, err
}

// parseDocuments parses the documents in force. They were valid when they were
// published, so a stricter build must not reject them.
func (s *State) parseDocuments() error {
	for name, svc := range s.Services {
		doc, err := document.Reload(svc.Text)
		if err != nil {
			return errors.Wrapf(err, "document of %s", name)
		}
		svc.Doc = doc
	}
	return nil
}
