package workload

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against jobs of one workspace that another workspace or a caller without a key reaches.
func TestOnlyItsWorkspaceMayAccessAJob(t *testing.T) {
	for name, c := range map[string]struct {
		by            Requester
		workspace     string
		queue         string
		wantMayAccess bool
	}{
		"own workspace, own queue":        {Requester{"a", "q"}, "a", "q", true},
		"own workspace, other queue":      {Requester{"a", "other"}, "a", "q", true},
		"other workspace":                 {Requester{"b", "q"}, "a", "q", false},
		"no key, own queue became public": {Requester{"", "q"}, "a", "q", true},
		"no key, another public queue":    {Requester{"", "other"}, "a", "q", false},
		"job of no workspace, any key":    {Requester{"b", "q"}, "", "q", true},
		"job of no workspace, no key":     {Requester{"", "q"}, "", "q", true},
	} {
		assert.Equal(t, c.wantMayAccess, c.by.MayAccess(c.workspace, c.queue), name)
	}
}

// Guards against a cancellation whose sender is lost in the store, and against records of earlier
// versions that no longer load.
func TestCancellationsKeepTheirSender(t *testing.T) {
	for name, r := range map[string]Record{
		"with its sender":               {Job: "0000000000000001", Cancel: true, CancelledBy: &Requester{Workspace: "a", Queue: "q"}},
		"by a caller without a key":     {Job: "0000000000000001", Cancel: true, CancelledBy: &Requester{Queue: "q"}},
		"as earlier versions stored it": {Job: "0000000000000001", Cancel: true},
	} {
		key, value, err := r.Encode()
		require.NoError(t, err, name)
		got, ok, err := DecodeRecord(key, value)
		require.NoError(t, err, name)
		require.True(t, ok, name)
		assert.Equal(t, r, got, name)
	}
	got, ok, err := DecodeRecord("s/0000000000000001", []byte(`{"q":"q","v":"s","a":1,"j":{"p":"","s":[]}}`))
	require.NoError(t, err)
	require.True(t, ok)
	assert.Empty(t, got.Submission.Workspace)
}

// Guards against a configuration that is applied although it doesn't say whose a key is, and against
// errors that show a key.
func TestInvalidWorkspacesAreRefused(t *testing.T) {
	for name, c := range map[string]struct {
		workspace Workspace
		keys      []string
		wantError string
	}{
		"key of two workspaces": {Workspace{Name: "b"}, []string{"new-key", "secret-key"}, `key 1 of workspace "b" is also a key of workspace "a"`},
		"empty key":             {Workspace{Name: "b"}, []string{""}, "key 0 is empty"},
		"negative cap":          {Workspace{Name: "b", Cap: Resources{CPU: -1}}, nil, "is negative"},
		"negative weight":       {Workspace{Name: "b", Weight: -1}, nil, "is negative"},
		"no name":               {Workspace{}, nil, "name must have"},
		"listed twice":          {Workspace{Name: "a"}, nil, "listed twice"},
	} {
		all := NewWorkspaces()
		require.NoError(t, all.Add(Workspace{Name: "a"}, []string{"secret-key", "secret-key"}))
		err := all.Add(c.workspace, c.keys)
		assert.ErrorContains(t, err, c.wantError, name)
		assert.NotContains(t, err.Error(), "-key", name)
	}
}
