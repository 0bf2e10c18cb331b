package joblog

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/yuccadrift/yuccadrift/platform"
)

func storedJob(step string) string {
	return fmt.Sprintf(`{"q":"q","v":"s","a":1,"j":{"p":"","s":[%s]}}`, step)
}

const goodJob = `{"q":"q","v":"s","a":1,"j":{"p":"","s":[{"n":1,"r":{"c":1}}]}}`

// Guards against a stored record of another writer that ends each process that takes its partition over: the job of
// each later record is lost.
func TestUnusableStoredRecordsAreLeftOutAlone(t *testing.T) {
	deep := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	for name, odd := range map[string]platform.KeyedRecord{
		"job null":               {Key: "s/00000000000000aa", Value: []byte(`null`)},
		"job without steps":      {Key: "s/00000000000000aa", Value: []byte(storedJob(""))},
		"negative count":         {Key: "s/00000000000000aa", Value: []byte(storedJob(`{"n":-5}`))},
		"count of 1e9":           {Key: "s/00000000000000aa", Value: []byte(storedJob(`{"n":1000000000}`))},
		"count of 1e300":         {Key: "s/00000000000000aa", Value: []byte(storedJob(`{"n":1e300}`))},
		"dependency missing":     {Key: "s/00000000000000aa", Value: []byte(storedJob(`{"n":1,"d":[99]}`))},
		"dependency negative":    {Key: "s/00000000000000aa", Value: []byte(storedJob(`{"n":1,"d":[-1]}`))},
		"dependency on itself":   {Key: "s/00000000000000aa", Value: []byte(storedJob(`{"n":1,"d":[0]}`))},
		"negative resources":     {Key: "s/00000000000000aa", Value: []byte(storedJob(`{"n":1,"r":{"c":-1}}`))},
		"1e9 occurrences":        {Key: "s/00000000000000aa", Value: []byte(`{"q":"q","j":{"rp":1000000000,"s":[{"n":1}]}}`)},
		"negative occurrences":   {Key: "s/00000000000000aa", Value: []byte(`{"q":"q","j":{"rp":-1,"s":[{"n":1}]}}`)},
		"ID with a dot":          {Key: "s/a/b.c", Value: []byte(goodJob)},
		"ID of two digits":       {Key: "s/aa", Value: []byte(goodJob)},
		"cancelled without ID":   {Key: "c/ ", Value: []byte("1")},
		"nested":                 {Key: "s/00000000000000aa", Value: []byte(deep)},
		"progress nested":        {Key: "p/00000000000000aa", Value: []byte(deep)},
		"no JSON":                {Key: "c/00000000000000aa", Value: []byte("\xff")},
		"compressed, damaged":    {Key: "s/00000000000000aa", Value: []byte("\x1f\x8bjunk")},
		"loans null":             {Key: "l/a", Value: []byte(`null`)},
		"loans of another":       {Key: "l/a", Value: []byte(`{"w":"b"}`)},
		"loans negative":         {Key: "l/a", Value: []byte(`{"w":"a","l":{"1":{"c":-1}}}`)},
		"loans of no workspace":  {Key: "l/a", Value: []byte(`{}`)},
		"takeover of the future": {Key: "owner/last", Value: []byte(`{"e":9223372036854775807}`)},
		"takeover negative":      {Key: "owner/last", Value: []byte(`{"e":-1}`)},
		"fence of the future":    {Key: "owner/fence", Value: []byte(`{"e":9223372036854775807}`)},
		"handover of the future": {Key: "owner/left", Value: []byte(`{"e":9223372036854775807}`)},
		"handover a list":        {Key: "owner/left", Value: []byte(`[1]`)},
	} {
		records, errs := Decode(platform.Batch{Records: []platform.KeyedRecord{
			{Key: "s/0000000000000001", Value: []byte(goodJob)}, odd, {Key: "s/0000000000000002", Value: []byte(goodJob)},
		}})
		assert.Len(t, errs, 1, name)
		assert.Len(t, records, 2, name)
	}
}

// Guards against records of nodes that are refused.
func TestRecordsOfNodesAreUsed(t *testing.T) {
	records, errs := Decode(platform.Batch{Records: []platform.KeyedRecord{
		{Key: "s/0000000000000001", Value: []byte(goodJob)},
		{Key: "s/0000000000000002", Value: []byte(`{"q":"q","v":"s","a":1,"j":{"p":"","s":[{"n":1,"r":{}}]}}`)},
		{Key: "c/0000000000000002", Value: []byte(`1`)},
		{Key: "l/a", Value: []byte(`{"w":"a","l":{"1":{"c":5}},"s":{"c":7}}`)},
		{Key: "owner/last", Value: []byte(`{"e":3}`)},
		{Key: "p/0000000000000001", Value: []byte(`{"b":true}`)},
		{Key: "x/unknown", Value: []byte(`\x00`)},
		{Key: "s/0000000000000003"},
	}})
	assert.Empty(t, errs)
	assert.Len(t, records, 6)
}

// FuzzDecode checks that no stored record causes a panic, and that each usable job is valid.
func FuzzDecode(f *testing.F) {
	f.Add("s/00000000000000aa", []byte(goodJob))
	f.Add("s/00000000000000aa", []byte(storedJob(`{"n":1,"d":[99]}`)))
	f.Add("l/a", []byte(`null`))
	f.Add("p/00000000000000aa", []byte(`{"d":["/w=="],"f":{"0.0.1":[1]}}`))
	f.Add("owner/left", []byte(`{"e":1,"r":[{"w":"a","t":"x","n":-1}]}`))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		records, _ := Decode(platform.Batch{Records: []platform.KeyedRecord{{Key: key, Value: value}}})
		for _, r := range records {
			if r.Submission != nil && r.Submission.Spec.Validate() != nil {
				t.Errorf("%+v", r.Submission)
			}
		}
	})
}

// Guards against an owner that waits for a worker without an ID.
func TestLongLeasesNameWorkers(t *testing.T) {
	decode := func(value string) int {
		records, _ := Decode(platform.Batch{Records: []platform.KeyedRecord{{Key: "owner/leases", Value: []byte(value)}}})
		return len(records)
	}
	assert.Equal(t, 1, decode(`{"w":{"w-1":1700000000000}}`))
	assert.Zero(t, decode(`{"w":{"w-1":1700000000000,"":1700000000000}}`))
	assert.Zero(t, decode(`{"w":{"w-1":1e300}}`))
}
