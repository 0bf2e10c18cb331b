package workload

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

const (
	// maxPlainValueBytes bounds the values that are stored as plain JSON. Larger ones are compressed: records of
	// large jobs consist of many similar entries, and the store bounds the size of a record.
	maxPlainValueBytes = 32 << 10
	// maxValueBytes bounds a value when it is decompressed, against a corrupt record.
	maxValueBytes = 64 << 20
)

// gzipMagic begins a compressed value. No JSON text begins so.
var gzipMagic = []byte{0x1f, 0x8b}

// encodeValue returns the stored form of v.
func encodeValue(v any) ([]byte, error) {
	plain, err := json.Marshal(v)
	if err != nil || len(plain) <= maxPlainValueBytes {
		return plain, err
	}
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(plain); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// decodeValue decodes a value that encodeValue has returned into v.
func decodeValue(value []byte, v any) error {
	if !bytes.HasPrefix(value, gzipMagic) {
		return json.Unmarshal(value, v)
	}
	r, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return err
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxValueBytes+1))
	switch {
	case err != nil:
		return err
	case len(plain) > maxValueBytes:
		return errors.Errorf("value has more than %d bytes", maxValueBytes)
	}
	return json.Unmarshal(plain, v)
}
