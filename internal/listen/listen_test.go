package listen_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/listen"
	"github.com/yuccadrift/yuccadrift/internal/tomlfile"
)

func parse(t *testing.T, text string) tomlfile.Address {
	address, err := tomlfile.ParseAddress(text)
	require.NoError(t, err)
	return address
}

func TestTCPReportsBindErrorReason(t *testing.T) {
	held, err := listen.TCP(t.Context(), "admin.listen", parse(t, "127.0.0.1:0"))
	require.NoError(t, err)
	defer held.Close()
	_, err = listen.TCP(t.Context(), "admin.listen", parse(t, held.Addr().String()))
	assert.EqualError(t, err, "admin.listen: cannot listen on "+held.Addr().String()+": address already in use, stop the process that holds it or set another port")
	_, err = listen.TCP(t.Context(), "peers.listen", parse(t, "192.0.2.1:0")) // documentation range, RFC 5737
	assert.EqualError(t, err, "peers.listen: cannot listen on 192.0.2.1:0: no interface of this VM has that IP number")
}
