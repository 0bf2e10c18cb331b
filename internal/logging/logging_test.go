package logging_test

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/logging"
	"github.com/yuccadrift/yuccadrift/internal/settings"
)

func TestNewAppliesLevelAndFormat(t *testing.T) {
	var out bytes.Buffer
	logger := logging.New("yuccadrift-entry", settings.Node{ID: "entry-1", Zone: "a"}, settings.Log{Level: "warn", Format: settings.LogJSON}, &out)
	logger.Info("left out")
	logger.Named("claims").Warn("lease lost", "peer", "entry-2")
	var line struct {
		Level   string `json:"@level"`
		Message string `json:"@message"`
		Module  string `json:"@module"`
		Node    string `json:"node"`
		Zone    string `json:"zone"`
		Peer    string `json:"peer"`
	}
	require.NoError(t, json.Unmarshal(out.Bytes(), &line), out.String())
	assert.Equal(t, "warn", line.Level)
	assert.Equal(t, "lease lost", line.Message)
	assert.Equal(t, "yuccadrift-entry.claims", line.Module)
	assert.Equal(t, []string{"entry-1", "a", "entry-2"}, []string{line.Node, line.Zone, line.Peer})

	out.Reset()
	logging.New("x", settings.Node{ID: "n"}, settings.Log{Level: "debug", Format: settings.LogText}, &out).Debug("shown")
	assert.Regexp(t, `\[DEBUG\] x: shown: node=n`, out.String())
}
