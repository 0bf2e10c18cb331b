package rejections

import (
	"bytes"
	"strconv"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
)

// Guards against a log that another writer fills: by entries that are read again and again, by many, or by long ones.
func TestEachEntryIsLoggedOnceAndBriefly(t *testing.T) {
	var out bytes.Buffer
	l := New(hclog.New(&hclog.LoggerOptions{Output: &out}), "skipped")
	for range 1000 {
		l.Reject("a", errors.New(strings.Repeat("x", 200_000)))
	}
	assert.Equal(t, 1, strings.Count(out.String(), "skipped"))
	assert.Less(t, out.Len(), 1000)
	l.Accept("a")
	l.Reject("a", errors.New("odd"))
	assert.Equal(t, 2, strings.Count(out.String(), "skipped"), "odd again after it was good")
	for i := range 5000 {
		l.Reject(strconv.Itoa(i)+strings.Repeat("k", 200_000), errors.New("odd"))
	}
	assert.Equal(t, 1+maxEntries, strings.Count(out.String(), "skipped"))
	assert.Less(t, out.Len(), maxEntries*1000)
}
