package partitioning

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against an entry without a partition that assigns partition 0: entries never change, so the service's jobs
// would be looked for there for good.
func TestEntriesWithoutAPartitionAreRefused(t *testing.T) {
	for name, value := range map[string]string{
		"missing": `{}`, "null": `{"partition":null}`, "value null": `null`, "text": `{"partition":"1"}`, "fraction": `{"partition":1.5}`,
		"huge": `{"partition":1e300}`, "beyond 64 bits": `{"partition":9223372036854775808}`, "negative": `{"partition":-1}`, "one too many": `{"partition":4}`,
		"list": `[1]`, "no JSON": "\xff\x00", "deep": `{"partition":` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + `}`,
	} {
		_, _, err := Decode(KeyPrefix+"s", []byte(value), 4)
		assert.Error(t, err, name)
	}
}

// FuzzDecode checks that no entry causes a panic or names a partition that doesn't exist.
func FuzzDecode(f *testing.F) {
	f.Add(KeyPrefix+"s", []byte(`{"partition":3}`))
	f.Add("service", []byte(`{"partition":-1}`))
	f.Add(KeyPrefix, []byte(`{"partition":1e300}`))
	f.Add(KeyPrefix+"s", []byte(`null`))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		service, partition, err := Decode(key, value, 4)
		if err == nil && (service == "" || partition < 0 || partition >= 4) {
			t.Errorf("%q, partition %d", service, partition)
		}
	})
}
