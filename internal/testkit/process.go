package testkit

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// Bounds of waiting. They only keep a broken run from hanging: tests assert on
// events, never on how long these took.
const (
	waitLimit = 60 * time.Second
	waitPoll  = 5 * time.Millisecond
	// tailBytes is how much of a process's log a failed test shows.
	tailBytes = 6 << 10
)

// logsVariable names a directory that keeps the processes' logs after the test.
const logsVariable = "TESTKIT_LOGS"

// Process is one of the system's processes. It is safe for concurrent use.
type Process struct {
	Name string
	t    testing.TB
	path string
	args []string
	log  string // file that takes its output over all its runs

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{} // closed when the present run has ended
	err   error         // of the run that ended
	asked bool          // the present run was told to end
}

func newProcess(t testing.TB, dir, name, path string, args ...string) *Process {
	if keep := os.Getenv(logsVariable); keep != "" {
		dir = keep
	}
	p := &Process{Name: name, t: t, path: path, args: args, log: filepath.Join(dir, name+".log")}
	t.Cleanup(p.finish)
	return p
}

// Start starts the process, also again after it has ended.
func (p *Process) Start() {
	p.t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	file, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Fatal(err)
	}
	defer file.Close()
	cmd := exec.Command(p.path, p.args...)
	cmd.Stdout, cmd.Stderr = file, file
	// A test that runs into its time limit skips its cleanups: the kernel then
	// ends what it started.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	ended := make(chan struct{})
	p.cmd, p.ended, p.asked, p.err = cmd, ended, false, nil
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		defer p.mu.Unlock()
		p.err = err
		close(ended)
	}()
}

// Running reports whether the process has been started and has not ended.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// PID returns the id of the latest run.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// Terminate asks the process to leave, as an operator's SIGTERM does; Wait waits
// until it has.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM, true) }

// Kill ends the process at once, as the loss of its VM does.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL, true)
	<-p.done()
}

// Pause stops the process without its knowing, Resume lets it go on.
func (p *Process) Pause() { p.signal(syscall.SIGSTOP, false) }

// Resume lets a paused process go on.
func (p *Process) Resume() { p.signal(syscall.SIGCONT, false) }

// Hangup has the process read its settings again.
func (p *Process) Hangup() { p.signal(syscall.SIGHUP, false) }

// Wait waits until the process has ended; its error tells a bad exit code.
func (p *Process) Wait() error {
	p.t.Helper()
	select {
	case <-p.done():
	case <-time.After(waitLimit):
		p.t.Fatalf("%s did not end within %s", p.Name, waitLimit)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

// Log returns what the process has written.
func (p *Process) Log() string {
	text, _ := os.ReadFile(p.log) // a process that never ran has no file
	return string(text)
}

func (p *Process) done() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

func (p *Process) signal(s syscall.Signal, ends bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	p.asked = p.asked || ends
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.t.Errorf("%s: %v", p.Name, err)
	}
}

// finish ends the process and fails the test if it had ended by itself, as after
// a broken invariant, or had a data race.
func (p *Process) finish() {
	p.mu.Lock()
	started, asked, ended := p.cmd != nil, p.asked, p.ended
	p.mu.Unlock()
	if !started {
		return
	}
	select {
	case <-ended:
		if !asked {
			p.t.Errorf("%s ended by itself: %v", p.Name, p.err)
		}
	default:
		p.Kill()
	}
	text := p.Log()
	for _, bad := range []string{"DATA RACE", "panic:", "fatal error:"} {
		if strings.Contains(text, bad) {
			p.t.Errorf("%s: %q in its log", p.Name, bad)
		}
	}
	if p.t.Failed() {
		p.keepLog(text)
		p.t.Logf("--- end of the log of %s\n%s", p.Name, tail([]byte(text)))
	}
}

// keptLogs names a directory that gets the whole logs of processes of tests that fail, in
// place of their ends alone.
const keptLogs = "YUCCADRIFT_KEPT_LOGS"

func (p *Process) keepLog(text string) {
	dir := os.Getenv(keptLogs)
	if dir == "" {
		return
	}
	name := strings.NewReplacer("/", "_", "#", "_").Replace(p.t.Name())
	file := filepath.Join(dir, fmt.Sprintf("%s-%d-%s.log", name, os.Getpid(), p.Name))
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		p.t.Logf("log of %s can't be kept: %v", p.Name, err)
		return
	}
	p.t.Logf("whole log of %s: %s", p.Name, file)
}

func tail(text []byte) []byte {
	if len(text) <= tailBytes {
		return text
	}
	text = text[len(text)-tailBytes:]
	return text[bytes.IndexByte(text, '\n')+1:]
}

// until waits for a condition that another process brings about.
func until(t testing.TB, what string, holds func() bool) {
	t.Helper()
	limit := time.Now().Add(waitLimit)
	for !holds() {
		if time.Now().After(limit) {
			t.Fatalf("not within %s: %s", waitLimit, what)
		}
		time.Sleep(waitPoll)
	}
}
