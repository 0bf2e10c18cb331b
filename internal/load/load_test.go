package load

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/outcome"
	"github.com/yuccadrift/yuccadrift/internal/standin"
)

// answers maps a path to an entry VM's correct or faulty answer.
var answers = map[string]http.HandlerFunc{
	"/good": func(w http.ResponseWriter, r *http.Request) { writeWholeAnswer(w, r, outcome.Ran) },
	"/other": func(w http.ResponseWriter, r *http.Request) {
		r.Header.Set(standin.HeaderEcho, "somebody-else")
		writeWholeAnswer(w, r, outcome.Ran)
	},
	"/partial": func(w http.ResponseWriter, r *http.Request) {
		r.Header.Set(standin.HeaderReplyBytes, "5")
		writeWholeAnswer(w, r, outcome.Ran)
	},
	"/silent": func(w http.ResponseWriter, r *http.Request) { writeWholeAnswer(w, r, "") },
	"/cut": func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "10")
		_, _ = w.Write([]byte("half"))
		panic(http.ErrAbortHandler)
	},
	"/failed": func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(outcome.HeaderOutcome, string(outcome.Ran))
		w.WriteHeader(http.StatusInternalServerError)
	},
	"/shed": func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(outcome.HeaderOutcome, string(outcome.NotRun))
		w.Header().Set(outcome.HeaderReason, "busy")
		w.WriteHeader(http.StatusServiceUnavailable)
	},
	"/unknown": func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(outcome.HeaderOutcome, string(outcome.Unknown))
		w.WriteHeader(http.StatusBadGateway)
	},
}

func writeWholeAnswer(w http.ResponseWriter, r *http.Request, o outcome.Outcome) {
	size := 10
	if r.Header.Get(standin.HeaderReplyBytes) == "5" {
		size = 5
	}
	echo := r.Header.Get(standin.HeaderEcho)
	w.Header().Set(standin.HeaderEcho, echo)
	w.Header().Set(outcome.HeaderOutcome, string(o))
	_, _ = w.Write(standin.ReplyBody(echo, size))
}

func testPlan(server *httptest.Server, path string) Plan {
	return Plan{
		Targets: []string{strings.TrimPrefix(server.URL, "http://")}, Duration: 50 * time.Millisecond, InFlight: 100, Seed: 1,
		Routes: []Route{{Name: "r", Path: path, Rate: 200, ReplyBytes: 10}},
	}
}

// The generator must detect each violated guarantee: an answer to another
// request, a partial answer that looks complete, and an answer without an
// outcome.
func TestAnswersAreClassified(t *testing.T) {
	mux := http.NewServeMux()
	for path, answer := range answers {
		mux.HandleFunc(path, answer)
	}
	server := httptest.NewServer(mux)
	defer server.Close()
	counterOf := map[string]func(Counts) int{
		"/good": func(c Counts) int { return c.Good }, "/other": func(c Counts) int { return c.Wrong },
		"/partial": func(c Counts) int { return c.Wrong }, "/silent": func(c Counts) int { return c.Wrong },
		"/cut": func(c Counts) int { return c.Broken }, "/failed": func(c Counts) int { return c.Failed },
		"/shed": func(c Counts) int { return c.NotRun }, "/unknown": func(c Counts) int { return c.Unknown },
	}
	for path, count := range counterOf {
		t.Run(path, func(t *testing.T) {
			report, err := Run(t.Context(), testPlan(server, path))
			require.NoError(t, err)
			got := report.Route("r")
			assert.NotZero(t, got.Sent)
			assert.Equal(t, got.Sent, count(got.Counts))
		})
	}
}

// A retry must carry the key of the first attempt and an increased attempt
// number. With a new key, a booking would run twice.
func TestRetryReusesKey(t *testing.T) {
	var keys sync.Map
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key := r.Header.Get(outcome.HeaderKey)
		_, known := keys.LoadOrStore(key, true)
		assert.Equal(t, known, r.Header.Get(outcome.HeaderAttempt) == "2")
		if !known {
			answers["/unknown"](w, r)
			return
		}
		writeWholeAnswer(w, r, outcome.Ran)
	}))
	defer server.Close()
	p := testPlan(server, "/book")
	p.MaxRetries, p.Routes[0].Keyed = 1, true
	report, err := Run(t.Context(), p)
	require.NoError(t, err)
	got := report.Route("r")
	assert.NotZero(t, got.Sent)
	assert.Equal(t, got.Sent, got.Good)
	assert.Equal(t, got.Sent, got.Retries)
}

func TestCheckRejectsUnboundedPlans(t *testing.T) {
	ok := Plan{Targets: []string{"127.0.0.1:1"}, Routes: []Route{{Path: "/s/x", Rate: 10}}, Duration: time.Second, InFlight: 1}
	require.NoError(t, ok.Check())
	for name, mutate := range map[string]func(*Plan){
		"another machine": func(p *Plan) { p.Targets = []string{"10.0.0.1:80"} },
		"a host name":     func(p *Plan) { p.Targets = []string{"localhost:80"} },
		"too long":        func(p *Plan) { p.Duration = time.Hour },
		"too many":        func(p *Plan) { p.Routes = []Route{{Path: "/s/x", Rate: 1e9}} },
		"unbounded":       func(p *Plan) { p.InFlight = 0 },
	} {
		p := ok
		mutate(&p)
		assert.Error(t, p.Check(), name)
	}
}

func TestParseRoute(t *testing.T) {
	r, err := ParseRoute("name=book,path=/booking/reservations,rate=20,work=50ms,reply=10,body=20,keyed=true,deadline=1s")
	require.NoError(t, err)
	assert.Equal(t, Route{Name: "book", Path: "/booking/reservations", Rate: 20, Work: 50 * time.Millisecond, ReplyBytes: 10, BodyBytes: 20, Keyed: true, Deadline: time.Second}, r)
	_, err = ParseRoute("path=/x,speed=9")
	assert.ErrorContains(t, err, "speed=9")
}
