package node

import (
	"encoding/json"
	"testing"
	"testing/synctest"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/nodepeer"
	"github.com/yuccadrift/yuccadrift/internal/published"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform"
)

// configRecord returns a published configuration with one queue of a service.
func configRecord(t *testing.T, version int64, queue, service string) []byte {
	record, err := json.Marshal(map[string]any{"version": version, "routes": []any{map[string]any{"name": queue, "host": "h", "path_prefix": "/", "service": service}}})
	require.NoError(t, err)
	return record
}

// Guards against a job that runs twice: a node whose configuration is older sends a repeated submission to the owner
// of the former service, after another node has stored it with the later one.
func TestRecordsOfAnOutdatedConfigurationAreNotStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, store := newOwnerNode()
		o.published = published.New(nil, hclog.NewNullLogger())
		o.published.ApplyFromPeer("", configRecord(t, 7, "later", "returns"))
		p := peerHandler{ownerDirectory: o, intake: o.intake, published: o.published}
		serve := func(id workload.JobID, configVersion int64) nodepeer.Response {
			key, value, err := workload.Record{Job: id, Submission: &workload.Submission{Queue: "former", Service: "booking", Spec: workload.Spec{Steps: []workload.Step{{Count: 1}}}}}.Encode()
			require.NoError(t, err)
			response, err := p.ServeStore(t.Context(), nodepeer.Request{RecordKey: key, RecordValue: value, ConfigVersion: configVersion})
			require.NoError(t, err)
			return response
		}
		response := serve("00000000000000aa", 5)
		assert.Equal(t, platform.StoreInvalid, response.StoreResult.Status)
		require.NotNil(t, response.Config)

		asking := published.New(nil, hclog.NewNullLogger())
		asking.ApplyFromPeer("", configRecord(t, 5, "former", "booking"))
		asking.ApplyFromPeer("10.0.0.9:1", response.Config.Record)
		assert.Equal(t, int64(7), asking.Version(), "the node that asked uses the newer one now")

		for version, id := range map[int64]workload.JobID{0: "00000000000000ab", 7: "00000000000000ac", 9: "00000000000000ad"} {
			go func() { store <- platform.StoreOK }()
			assert.Equal(t, platform.StoreOK, serve(id, version).StoreResult.Status, "version %d", version)
		}
	})
}
