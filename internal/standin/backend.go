package standin

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Headers of requests to backend servers and of their answers.
const (
	// HeaderKey carries the request's key. Runs are counted by key.
	HeaderKey = "Yuccadrift-Key"
	// HeaderBackend is NotRun if the server refused a request without running it.
	HeaderBackend = "Yuccadrift-Backend"
	// NotRun is the value of HeaderBackend.
	NotRun = "not-run"
	// HeaderWorkMS sets the duration of the run in milliseconds, as a decimal.
	HeaderWorkMS = "X-Standin-Work-Ms"
	// HeaderReplyBytes sets the size of the answer's body in bytes.
	HeaderReplyBytes = "X-Standin-Reply-Bytes"
	// HeaderEcho carries a token that the answer repeats in its header and body.
	HeaderEcho = "X-Standin-Echo"
	// HeaderVM carries the ID of the VM that answered.
	HeaderVM = "X-Standin-Vm"
	// HeaderRun carries the number of the run among the runs of the key.
	HeaderRun = "X-Standin-Run"
)

// Limits of a backend server.
const (
	maxWork        = 10 * time.Minute
	maxReplyBytes  = 64 << 20
	maxBodyBytes   = 64 << 20
	freezePoll     = 10 * time.Millisecond
	readHeaderWait = 10 * time.Second
)

// backend is the backend server of one VM. Its counters survive reboots.
type backend struct {
	vm       string
	platform *Platform
	slots    int
	work     time.Duration

	mu       sync.Mutex
	counts   VMCounters
	keys     map[string]KeyCounters
	busy     int
	inFlight map[*backendRequest]struct{}
	boots    int
	listener net.Listener
	server   *http.Server
	stopped  chan struct{} // closed when the current boot ends
}

// open starts serving on listener. It serves until close is called.
func (b *backend) open(listener net.Listener, connections, boots int) {
	limited := &limitListener{
		Listener:  listener,
		limit:     connections,
		onRefused: func() { b.updateCounts(func(c *VMCounters) { c.RefusedConnections++ }) },
		shouldCut: func() bool {
			_, ok := b.platform.takeFault(CutBeforeRead, b.vm)
			return ok
		},
	}
	stopped := make(chan struct{})
	server := &http.Server{
		Handler:           http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { b.serve(w, r, stopped) }),
		ReadHeaderTimeout: readHeaderWait,
	}
	b.mu.Lock()
	b.listener, b.server, b.stopped, b.boots = listener, server, stopped, boots
	b.inFlight = map[*backendRequest]struct{}{}
	b.mu.Unlock()
	go server.Serve(limited)
}

// close cuts all connections, as when a VM goes down, and counts the requests in
// flight. It closes the listener first: a client whose request was cut must find
// that nothing listens any more.
func (b *backend) close(lost bool) {
	b.mu.Lock()
	server := b.server
	b.server = nil
	if server != nil {
		b.listener.Close()
		for run := range b.inFlight {
			b.countCut(run, lost)
		}
		b.inFlight = nil
		close(b.stopped)
	}
	b.mu.Unlock()
	if server != nil {
		server.Close()
	}
}

// countCut counts a request that is cut because the VM goes down. Requests on a lost
// VM are counted separately since no drain could have prevented the cut, and
// abandoned runs since no client waits for them.
func (b *backend) countCut(request *backendRequest, lost bool) {
	switch {
	case lost:
		b.counts.LostInFlight++
	case request.r.Context().Err() != nil:
		b.counts.CutAbandoned++
	default:
		b.counts.CutInFlight++
	}
}

func (b *backend) isOpen() (boots int, open bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.boots, b.server != nil
}

func (b *backend) updateCounts(f func(*VMCounters)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f(&b.counts)
}

// serve handles one request. stopped is closed when the current boot ends.
func (b *backend) serve(w http.ResponseWriter, r *http.Request, stopped <-chan struct{}) {
	if r.URL.Path == HealthPath {
		b.serveHealth(w)
		return
	}
	request := &backendRequest{backend: b, w: w, r: r, key: r.Header.Get(HeaderKey), stopped: stopped}
	if !b.addRequest(request) {
		cutConnection()
	}
	defer b.removeRequest(request)
	request.serve()
}

func (b *backend) serveHealth(w http.ResponseWriter) {
	if _, ok := b.platform.takeFault(BackendUnhealthy, b.vm); ok {
		http.Error(w, "unhealthy", http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ok\n")
}

// addRequest counts a request. It returns false if the VM has gone down.
func (b *backend) addRequest(request *backendRequest) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts.Seen++
	b.counts.LastSeen = b.platform.now()
	b.countKey(request.key, KeyCounters{Seen: 1})
	select {
	case <-request.stopped:
		b.counts.CutInFlight++
		return false
	default:
		b.inFlight[request] = struct{}{}
		return true
	}
}

// removeRequest removes a request from those in flight, unless the VM went down and
// the request was counted as cut.
func (b *backend) removeRequest(request *backendRequest) {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-request.stopped:
	default:
		delete(b.inFlight, request)
	}
}

func (b *backend) countKey(key string, add KeyCounters) KeyCounters {
	if key == "" {
		return add
	}
	c := b.keys[key].plus(add)
	b.keys[key] = c
	return c
}

// acquireSlot acquires a slot. If none is free, it counts the refusal and returns
// false.
func (b *backend) acquireSlot(key string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.busy >= b.slots {
		b.counts.Refused++
		b.countKey(key, KeyCounters{Refused: 1})
		return false
	}
	b.busy++
	b.counts.MaxBusySlots = max(b.counts.MaxBusySlots, b.busy)
	return true
}

func (b *backend) releaseSlot() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.busy--
}

// countRun counts a run and returns its number among the runs of the key.
func (b *backend) countRun(key string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts.Runs++
	return b.countKey(key, KeyCounters{Runs: 1}).Runs
}

// backendRequest is one request in a backend server.
type backendRequest struct {
	backend *backend
	w       http.ResponseWriter
	r       *http.Request
	key     string
	stopped <-chan struct{}
}

// cutConnection ends the handler and closes the connection before the reply is
// complete: net/http does so on this panic.
func cutConnection() { panic(http.ErrAbortHandler) }

func (run *backendRequest) fault(kind FaultKind) (Fault, bool) {
	return run.backend.platform.takeFault(kind, run.backend.vm)
}

func (run *backendRequest) cutOnFault(kind FaultKind) {
	if _, ok := run.fault(kind); ok {
		cutConnection()
	}
}

func (run *backendRequest) serve() {
	run.cutOnFault(CutAfterHeader)
	if _, ok := run.fault(BackendError); ok {
		http.Error(run.w, "ordered to fail", http.StatusInternalServerError)
		return
	}
	if !run.backend.acquireSlot(run.key) {
		run.w.Header().Set(HeaderBackend, NotRun)
		http.Error(run.w, "all slots are busy", http.StatusServiceUnavailable)
		return
	}
	defer run.backend.releaseSlot()
	body, err := io.Copy(io.Discard, http.MaxBytesReader(run.w, run.r.Body, maxBodyBytes))
	if err != nil {
		cutConnection()
	}
	run.freeze()
	number := run.backend.countRun(run.key)
	run.simulateWork()
	run.cutOnFault(CutAfterRun)
	if f, ok := run.fault(BackendLate); ok {
		run.sleep(f.Delay())
	}
	run.writeAnswer(number, body)
}

// freeze blocks the request for the fault's delay, or until the fault ends if it has
// no delay.
func (run *backendRequest) freeze() {
	f, ok := run.fault(BackendFreeze)
	if !ok {
		return
	}
	run.sleep(f.Delay())
	for f.DelayMS == 0 && run.backend.platform.isActive(f.ID) {
		run.sleep(freezePoll)
		if run.r.Context().Err() != nil {
			cutConnection()
		}
	}
}

// simulateWork waits for the duration of the run. The run continues if its client
// disconnects.
func (run *backendRequest) simulateWork() {
	work := run.backend.work
	if ms, err := strconv.ParseFloat(run.r.Header.Get(HeaderWorkMS), 64); err == nil && ms >= 0 {
		work = time.Duration(min(ms*float64(time.Millisecond), float64(maxWork)))
	}
	if f, ok := run.fault(BackendSlow); ok {
		work = time.Duration(scale(float64(work), f.Factor)) + f.Delay()
	}
	run.sleep(work)
}

// sleep waits for d. If the VM goes down first, it cuts the connection.
func (run *backendRequest) sleep(d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-run.stopped:
		cutConnection()
	}
}

// writeAnswer writes and flushes the answer within the handler, so that the request
// counts as in flight until the answer is sent.
func (run *backendRequest) writeAnswer(number int, bodyBytes int64) {
	echo := run.r.Header.Get(HeaderEcho)
	size, err := strconv.Atoi(run.r.Header.Get(HeaderReplyBytes))
	body := ReplyBody(echo, min(size, maxReplyBytes))
	if err != nil || size < 0 {
		body = run.describe(number, bodyBytes)
	}
	header := run.w.Header()
	header.Set(HeaderVM, run.backend.vm)
	header.Set(HeaderEcho, echo)
	header.Set(HeaderRun, strconv.Itoa(number))
	header.Set("Content-Length", strconv.Itoa(len(body)))
	header.Set("Content-Type", "application/octet-stream")
	_, cutMid := run.fault(CutMidAnswer)
	if cutMid {
		body = body[:len(body)/2]
	}
	run.w.Write(body)
	if http.NewResponseController(run.w).Flush() != nil || cutMid {
		cutConnection()
	}
}

// Answer is the body of an answer to a request without HeaderReplyBytes.
type Answer struct {
	VM        string `json:"vm"`
	Path      string `json:"path"`
	Key       string `json:"key"`
	Echo      string `json:"echo"`
	Run       int    `json:"run"`
	BodyBytes int64  `json:"body_bytes"`
}

func (run *backendRequest) describe(number int, bodyBytes int64) []byte {
	return mustJSON(Answer{
		VM:        run.backend.vm,
		Path:      run.r.URL.Path,
		Key:       run.key,
		Echo:      run.r.Header.Get(HeaderEcho),
		Run:       number,
		BodyBytes: bodyBytes,
	})
}

// ReplyBody returns an answer's body of size bytes: the echo token, repeated.
func ReplyBody(echo string, size int) []byte {
	if echo == "" {
		echo = "-"
	}
	if size <= 0 {
		return nil
	}
	return []byte(strings.Repeat(echo, size/len(echo)+1)[:size])
}

// listenOn listens on a TCP address.
func listenOn(address string) (net.Listener, error) {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", address)
	return listener, errors.Wrapf(err, "listen on %s", address)
}
