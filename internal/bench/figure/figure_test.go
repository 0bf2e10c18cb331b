package figure

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestWrite(t *testing.T) {
	samples, err := Collect(3, func(seed uint64) ([]float64, error) {
		return []float64{[]float64{30.04, 10, 20}[seed], 5}, nil
	})
	require.NoError(t, err)
	table := Table{Title: "waves", Labels: []string{"policy", "spare"}, Quantities: []string{"min", "VM-s"}}
	table.Add(samples, "plain", "5")
	for format, want := range map[Format]string{
		FormatTable: "waves:\n\n| policy | spare | min | VM-s |\n|---|---|---|---|\n| plain | 5 | 20.0 (10.0-30.0) | 5 (5-5) |\n\n",
		FormatCSV:   "table,row,quantity,runs,median,least,greatest\nwaves,plain/5,min,3,20,10,30.04\nwaves,plain/5,VM-s,3,5,5,5\n",
	} {
		var out strings.Builder
		require.NoError(t, Write(&out, format, []Table{table}))
		assert.Equal(t, want, out.String())
	}
	var out strings.Builder
	require.NoError(t, Write(&out, FormatJSON, []Table{table}))
	assert.Contains(t, out.String(), `"quantity": "min",`+"\n    "+`"runs": 3,`+"\n    "+`"median": 20,`)
	assert.ErrorContains(t, Write(&out, "xml", nil), `unknown format "xml"`)
}
