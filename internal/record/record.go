// Package record defines the records that the system appends to the platform's
// log: one envelope and one typed body per kind. A record is a proposal; the
// ledger decides at the record's offset whether it is effective.
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

// SubjectKind names the kind of thing a record changes.
type SubjectKind string

// Kinds of subject.
const (
	SubjectService SubjectKind = "service"
	SubjectVM      SubjectKind = "vm"
	SubjectWave    SubjectKind = "wave"
	SubjectMember  SubjectKind = "member"
	SubjectJob     SubjectKind = "job"
	SubjectClock   SubjectKind = "clock"
)

// Subject is the thing whose revision a record was decided on.
type Subject struct {
	Kind SubjectKind `json:"kind"`
	Name string      `json:"name"`
}

// String returns kind and name joined by a slash.
func (s Subject) String() string { return string(s.Kind) + "/" + s.Name }

// Record is one entry of the log.
//
// Base is the revision of Subject that the author decided on; a record whose
// Base is no longer current is void. For a subject that does not exist yet,
// Base is 0 and Seen is the offset that the author had folded, which bounds how
// late a copy of a creating record can take effect.
type Record struct {
	// ID is unique per decision (a ULID); a second copy of an ID is void.
	ID      string
	Subject Subject
	Base    Revision
	// Seen is the highest offset that the author had folded.
	Seen uint64
	// Author is the node or operator that wrote the record.
	Author string
	// Time is the author's clock. It dates budget charges and reports and never
	// decides an order; ledger.Clock says how a wrong one is met.
	Time time.Time
	Body Body
}

// Body is the typed content of a record.
type Body interface {
	// Kind names the body on the log.
	Kind() Kind
}

// Kind names a body type on the log.
type Kind string

// envelope is a record on the log. Encode writes its keys in this order.
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

// Bounds of a record. The state keeps names of subjects, so without a bound
// one bad writer could fill the memory of every node.
const (
	MaxSize = 2 << 20 // bytes of the encoded record
	MaxName = 256     // bytes of ID, subject and author
)

// Errors of Decode.
var (
	// ErrMalformed means that the bytes are no record envelope.
	ErrMalformed = errors.New("malformed record")
	// ErrUnknownKind means that the record's kind is not known to this build,
	// as when a newer build shares the log.
	ErrUnknownKind = errors.New("unknown record kind")
)

// Encode returns the record as one JSON object.
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

// Decode is the inverse of Encode. Its error is ErrMalformed or ErrUnknownKind;
// every node gets the same error for the same bytes, so such a record is void
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

// encodedKindPrefix is what stands before the kind in what Encode writes. Inside a
// string its quotes would be escaped.
var encodedKindPrefix = []byte(`,"kind":"`)

// kindOf returns the record's kind. It spares a pass over what Encode wrote;
// decoderOf checks what was found so.
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

// decoderOf returns the decoder of records with a body of type T.
func decoderOf[T Body](data []byte) (Record, error) {
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
		return Record{}, errors.Errorf("time %s", e.Time)
	case e.Body == nil:
		return Record{}, errors.New("no body")
	case e.Kind != (*e.Body).Kind():
		return Record{}, errors.Errorf("its kind is %q", e.Kind)
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

// ValidTime reports whether a time can be written down in UTC. One of the year
// 9999 with a zone west of Greenwich cannot; in the state it would keep every
// node from encoding a snapshot.
func ValidTime(t time.Time) bool {
	year := t.UTC().Year()
	return year >= 1 && year <= 9999
}
