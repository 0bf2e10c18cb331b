package joblog_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/yuccadrift/yuccadrift/internal/joblog"
	"github.com/yuccadrift/yuccadrift/platform"
)

func recordOf(key string, bytes int) platform.KeyedRecord {
	return platform.KeyedRecord{Key: key, Value: []byte(strings.Repeat("x", bytes))}
}

// Guards against a write that the store refuses as a whole, with all records in it, because one is too large or all
// together are.
func TestAWriteIsDividedAtTheLimitsOfTheStore(t *testing.T) {
	l := joblog.Limits{Record: 100, Call: 200}
	large := recordOf("large", 95)
	appends, tooLarge := l.Split([]platform.KeyedRecord{recordOf("a", 90), recordOf("b", 90), large, recordOf("c", 40), recordOf("d", 40)})
	assert.Equal(t, []platform.KeyedRecord{large}, tooLarge)
	var keys []string
	for _, records := range appends {
		total, names := 0, ""
		for _, r := range records {
			total += 5 + len(r.Key) + len(r.Value)
			names += r.Key
		}
		assert.LessOrEqual(t, total, l.Call)
		keys = append(keys, names)
	}
	assert.Equal(t, []string{"ab", "cd"}, keys)
	appends, tooLarge = joblog.Limits{}.Split([]platform.KeyedRecord{large, large})
	assert.Len(t, appends, 1)
	assert.Empty(t, tooLarge)
}
