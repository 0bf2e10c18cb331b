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
	waitTimeout  = 60 * time.Second
	pollInterval = 5 * time.Millisecond
	// logTailBytes is how much of a process's log a failed test shows.
	logTailBytes = 6 << 10
)

// logDirVariable names a directory that keeps the processes' logs after the test.
const logDirVariable = "TESTKIT_LOGS"

// Process is one of the system's processes. It is safe for concurrent use.
type Process struct {
	Name    string
	t       testing.TB
	path    string
	args    []string
	logFile string // file that takes its output over all its runs

	mu            sync.Mutex
	cmd           *exec.Cmd
	exited        chan struct{} // closed when the present run has ended
	exitErr       error         // of the run that ended
	exitRequested bool          // the present run was told to end
}

func newProcess(t testing.TB, dir, name, path string, args ...string) *Process {
	if logDir := os.Getenv(logDirVariable); logDir != "" {
		dir = logDir
	}
	p := &Process{Name: name, t: t, path: path, args: args, logFile: filepath.Join(dir, name+".log")}
	t.Cleanup(p.stopAndCheck)
	return p
}

// Start starts the process, also again after it has ended.
func (p *Process) Start() {
	p.t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	file, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
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
	p.cmd, p.exited, p.exitRequested, p.exitErr = cmd, ended, false, nil
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		defer p.mu.Unlock()
		p.exitErr = err
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
	case <-p.exited:
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
	<-p.exitedChannel()
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
	case <-p.exitedChannel():
	case <-time.After(waitTimeout):
		p.t.Fatalf("%s did not end within %s", p.Name, waitTimeout)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exitErr
}

// Log returns what the process has written.
func (p *Process) Log() string {
	text, _ := os.ReadFile(p.logFile) // a process that never ran has no file
	return string(text)
}

func (p *Process) exitedChannel() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}

func (p *Process) signal(s syscall.Signal, requestsExit bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	p.exitRequested = p.exitRequested || requestsExit
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.t.Errorf("%s: %v", p.Name, err)
	}
}

// stopAndCheck ends the process and fails the test if it had ended by itself, as after
// a broken invariant, or had a data race.
func (p *Process) stopAndCheck() {
	p.mu.Lock()
	started, exitRequested, exited := p.cmd != nil, p.exitRequested, p.exited
	p.mu.Unlock()
	if !started {
		return
	}
	select {
	case <-exited:
		if !exitRequested {
			p.t.Errorf("%s ended by itself: %v", p.Name, p.exitErr)
		}
	default:
		p.Kill()
	}
	text := p.Log()
	for _, marker := range []string{"DATA RACE", "panic:", "fatal error:"} {
		if strings.Contains(text, marker) {
			p.t.Errorf("%s: %q in its log", p.Name, marker)
		}
	}
	if p.t.Failed() {
		p.saveLog(text)
		p.t.Logf("--- end of the log of %s\n%s", p.Name, tail([]byte(text)))
	}
}

// failedLogDirVariable names a directory that gets the whole logs of processes of tests that fail, in
// place of their ends alone.
const failedLogDirVariable = "YUCCADRIFT_KEPT_LOGS"

func (p *Process) saveLog(text string) {
	dir := os.Getenv(failedLogDirVariable)
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
	if len(text) <= logTailBytes {
		return text
	}
	text = text[len(text)-logTailBytes:]
	return text[bytes.IndexByte(text, '\n')+1:]
}

// until waits for a condition that another process brings about.
func until(t testing.TB, description string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("not within %s: %s", waitTimeout, description)
		}
		time.Sleep(pollInterval)
	}
}
