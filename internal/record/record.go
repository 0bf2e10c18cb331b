// Package record defines the records that the system appends to the platform's
// log: one envelope and one typed body per kind. A record is a proposal. The
// ledger decides at the record's offset whether it is effective or void.
package record

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// Revision is the offset of the record that last changed a subject. 0 means
// that the subject was never written.
type Revision uint64

// SubjectKind is the kind of object that a record changes.
type SubjectKind string

// Kinds of subjects.
const (
	SubjectService SubjectKind = "service"
	SubjectVM      SubjectKind = "vm"
	SubjectWave    SubjectKind = "wave"
	SubjectMember  SubjectKind = "member"
	SubjectJob     SubjectKind = "job"
	SubjectClock   SubjectKind = "clock"
)

// Subject is the object that a record changes and whose revision the record is
// based on.
type Subject struct {
	Kind SubjectKind `json:"kind"`
	Name string      `json:"name"`
}

// String returns "kind/name".
func (s Subject) String() string { return string(s.Kind) + "/" + s.Name }

// Record is one entry of the log.
//
// Base is the revision of Subject that the author's decision is based on. A
// record whose Base is no longer current is void. For a subject that does not
// exist yet, Base is 0, and Seen bounds how late a copy of the creating record
// can take effect.
type Record struct {
	// ID is a ULID, unique per decision. A second record with the same ID is
	// void.
	ID      string
	Subject Subject
	Base    Revision
	// Seen is the highest offset that the author had applied.
	Seen uint64
	// Author is the node or operator that wrote the record.
	Author string
	// Time is the author's wall clock. It dates budget charges and reports and
	// never decides an order. ledger.Clock handles wrong clocks.
	Time time.Time
	Body Body
}

// Body is the typed body of a record.
type Body interface {
	// Kind returns the kind under which the body is encoded.
	Kind() Kind
}

// Kind identifies a body type in the log.
type Kind string

// envelope is the encoded form of a record. Encode writes the keys in this
// order.
type envelope[T any] struct {
	ID      string    `json:"id"`
	Subject Subject   `json:"subject"`
	Base    Revision  `json:"base"`
	Seen    uint64    `json:"seen"`
	Author  string    `json:"author"`
	Time    time.Time `json:"time"`
	Kind    Kind      `json:"kind"`
	Body    *T        `json:"body"`
}

// Limits of a record. The state keeps the names of subjects, so without a limit
// a faulty writer could fill the memory of every node.
const (
	MaxSize = 2 << 20 // bytes of the encoded record
	MaxName = 256     // bytes of ID, subject and author
)

// Errors of Decode.
var (
	// ErrMalformed means that the data is not a valid record.
	ErrMalformed = errors.New("malformed record")
	// ErrUnknownKind means that this build does not know the record's kind, for
	// example because a newer build writes to the same log.
	ErrUnknownKind = errors.New("unknown record kind")
)

// Encode returns r as one JSON object. It returns ErrMalformed if r has no body.
func Encode(r Record) ([]byte, error) {
	if r.Body == nil {
		return nil, errors.Wrap(ErrMalformed, "no body")
	}
	data, err := json.Marshal(envelope[Body]{
		ID:      r.ID,
		Subject: r.Subject,
		Base:    r.Base,
		Seen:    r.Seen,
		Author:  r.Author,
		Time:    r.Time,
		Kind:    r.Body.Kind(),
		Body:    &r.Body,
	})
	return data, errors.Wrap(err, "encode record")
}

// Decode is the inverse of Encode. It returns ErrMalformed or ErrUnknownKind.
// All nodes get the same error for the same data, so such a record is void
// everywhere.
func Decode(data []byte) (Record, error) {
	if len(data) > MaxSize {
		return Record{}, errors.Wrapf(ErrMalformed, "%d bytes, more than %d", len(data), MaxSize)
	}
	kind, err := kindOf(data)
	if err != nil {
		return Record{}, err
	}
	decode, ok := decoders[kind]
	if !ok {
		return Record{}, errors.Wrapf(ErrUnknownKind, "%q", kind)
	}
	rec, err := decode(data)
	if err != nil {
		return Record{}, errors.Wrapf(ErrMalformed, "%s: %v", kind, err)
	}
	return rec, nil
}

// encodedKindPrefix precedes the kind in the output of Encode. It cannot occur
// within a JSON string, where its quotes are escaped.
var encodedKindPrefix = []byte(`,"kind":"`)

// kindOf returns the record's kind. It first searches for encodedKindPrefix,
// which saves a JSON pass over the output of Encode. The match may be a key of a
// nested object, so decodeAs checks the kind again.
func kindOf(data []byte) (Kind, error) {
	if _, rest, ok := bytes.Cut(data, encodedKindPrefix); ok {
		if name, _, ok := bytes.Cut(rest, []byte{'"'}); ok {
			if _, known := decoders[Kind(name)]; known {
				return Kind(name), nil
			}
		}
	}
	var e struct {
		Kind Kind `json:"kind"`
	}
	if err := json.Unmarshal(data, &e); err != nil {
		return "", errors.Wrap(ErrMalformed, err.Error())
	}
	return e.Kind, nil
}

// decodeAs decodes and validates a record with a body of type T.
func decodeAs[T Body](data []byte) (Record, error) {
	var e envelope[T]
	if err := json.Unmarshal(data, &e); err != nil {
		return Record{}, err
	}
	switch {
	case e.ID == "" || e.Subject.Kind == "" || e.Subject.Name == "":
		return Record{}, errors.New("id or subject missing")
	case max(len(e.ID), len(e.Subject.Kind), len(e.Subject.Name), len(e.Author)) > MaxName:
		return Record{}, errors.Errorf("id, subject or author longer than %d bytes", MaxName)
	case !ValidTime(e.Time):
		return Record{}, errors.Errorf("time %s is out of range", e.Time)
	case e.Body == nil:
		return Record{}, errors.New("no body")
	case e.Kind != (*e.Body).Kind():
		return Record{}, errors.Errorf("envelope has kind %q", e.Kind)
	}
	return Record{
		ID:      e.ID,
		Subject: e.Subject,
		Base:    e.Base,
		Seen:    e.Seen,
		Author:  e.Author,
		Time:    e.Time,
		Body:    *e.Body,
	}, nil
}

// ValidTime reports whether t can be encoded in UTC. A time late in the year
// 9999 with a zone west of Greenwich cannot: once in the state, it would make
// every node fail to encode a snapshot.
func ValidTime(t time.Time) bool {
	year := t.UTC().Year()
	return year >= 1 && year <= 9999
}
