package testkit

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Each fault of a link must cause the error at the client that it stands for, and after Heal new
// connections must work.
func TestLinkFaults(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "0123456789")
	}))
	t.Cleanup(server.Close)
	link := newLink(t, "link", uniqueLoopbackIP(), server.Listener.Addr().String())
	get := func() (string, error) {
		transport := &http.Transport{}
		defer transport.CloseIdleConnections()
		client := http.Client{Timeout: 300 * time.Millisecond, Transport: transport}
		res, err := client.Get("http://" + link.Address())
		if err != nil {
			return "", err
		}
		defer res.Body.Close()
		text, err := io.ReadAll(res.Body)
		return string(text), err
	}
	passes := func() {
		text, err := get()
		require.NoError(t, err)
		require.Equal(t, "0123456789", text)
	}
	passes()
	address := link.Address()
	link.Cut()
	_, err := net.Dial("tcp", address)
	require.Error(t, err, "refused")
	link.Heal()
	passes()
	var timeout net.Error
	for _, fault := range []func(){link.Blackhole, link.BlackholeReplies} {
		fault()
		_, err = get()
		require.ErrorAs(t, err, &timeout)
		require.True(t, timeout.Timeout())
		link.Heal()
		passes()
	}
	link.CutAfter(20)
	_, err = get()
	require.Error(t, err)
	link.Heal()
	passes()
	require.Equal(t, address, link.Address())
}
