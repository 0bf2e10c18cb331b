package record

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func testRecord(body Body) Record {
	return Record{
		ID:      "01J",
		Subject: Subject{Kind: SubjectVM, Name: "vm-1"},
		Base:    7,
		Seen:    9,
		Author:  "entry-1",
		Time:    time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC),
		Body:    body,
	}
}

func TestEncodeAndDecodeEveryKind(t *testing.T) {
	for kind := range decoders {
		for _, form := range []string{`{"id":"x","subject":{"kind":"vm","name":"y"},"kind":%q,"body":{}}`, `{"body" : {}, "kind" : %q, "subject":{"kind":"vm","name":"y"},"id":"x"}`} {
			first, err := Decode(fmt.Appendf(nil, form, kind))
			require.NoError(t, err)
			require.Equal(t, kind, first.Body.Kind())
			data, err := Encode(testRecord(first.Body))
			require.NoError(t, err)
			got, err := Decode(data)
			require.NoError(t, err)
			assert.Equal(t, testRecord(first.Body), got)
		}
	}
}

func TestDecodeDistinguishesMalformedFromUnknownKind(t *testing.T) {
	data, err := Encode(testRecord(VMDrain{Reason: DrainMove}))
	require.NoError(t, err)
	for change, want := range map[string]error{
		`"vm.drain"->"vm.fly"`:                                ErrUnknownKind,
		`"reason":"move"->"reason":3`:                         ErrMalformed,
		`"subject":->"x":{"a":1,"kind":"vm.gone"},"subject":`: ErrMalformed,
		`"body":->"x":`:                                       ErrMalformed,
		`"id":"01J"->"id":""`:                                 ErrMalformed,
		`"entry-1"->"` + strings.Repeat("e", MaxName+1) + `"`: ErrMalformed,
		`2026-03-02T08:00:00Z->9999-12-31T23:00:00-02:00`:     ErrMalformed,
		`}->`:                                ErrMalformed,
		`{->` + strings.Repeat(" ", MaxSize): ErrMalformed,
	} {
		from, to, _ := strings.Cut(change, "->")
		require.Contains(t, string(data), from)
		_, err := Decode([]byte(strings.Replace(string(data), from, to, 1)))
		assert.ErrorIs(t, err, want, from)
	}
	_, err = Encode(Record{ID: "x"})
	assert.ErrorIs(t, err, ErrMalformed)
}

// The log is shared with other writers and may contain any data. Decode must
// return an error or a record that survives another encoding and decoding.
func FuzzDecode(f *testing.F) {
	for _, body := range []Body{VMRegister{Cores: 3}, WaveStart{Pools: []string{"a"}}, JobSubmit{Team: "t"}, MemberSuspect{By: "m"}} {
		data, err := Encode(testRecord(body))
		require.NoError(f, err)
		f.Add(data)
	}
	f.Add([]byte(`{"id":"x","subject":{"kind":"vm","name":"y"},"kind":"vm.gone","body":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		rec, err := Decode(data)
		if err != nil {
			return
		}
		again, err := Encode(rec)
		require.NoError(t, err)
		back, err := Decode(again)
		require.NoError(t, err)
		rec.Time, back.Time = rec.Time.UTC(), back.Time.UTC()
		assert.Equal(t, rec, back)
	})
}
