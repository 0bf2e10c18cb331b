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

// Bounds of waiting. They only keep a failed run from hanging: tests assert that events happen,
// not how long the events take.
const (
	waitTimeout  = 60 * time.Second
	pollInterval = 5 * time.Millisecond
	// logTailBytes is how much of each process's log a failed test prints.
	logTailBytes = 6 << 10
)

// logDirVariable is the environment variable that names a directory for the processes' logs. The
// logs there remain after the test.
const logDirVariable = "TESTKIT_LOGS"

// Process is one of the system's processes. It is safe for concurrent use.
type Process struct {
	Name    string
	t       testing.TB
	path    string
	args    []string
	logFile string // file that the output of all its runs is appended to

	mu            sync.Mutex
	cmd           *exec.Cmd
	exited        chan struct{} // closed when the current run has exited
	exitErr       error         // error of the run that exited
	exitRequested bool          // the current run was sent SIGTERM or SIGKILL
}

func newProcess(t testing.TB, dir, name, path string, args ...string) *Process {
	if logDir := os.Getenv(logDirVariable); logDir != "" {
		dir = logDir
	}
	p := &Process{Name: name, t: t, path: path, args: args, logFile: filepath.Join(dir, name+".log")}
	t.Cleanup(p.stopAndCheck)
	return p
}

// Start starts the process. After an exit it may be started again.
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
	// A test that exceeds its time limit skips its cleanups. The kernel then kills the process.
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

// Running reports whether the process has been started and has not exited.
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

// PID returns the process ID of the latest run.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// Terminate sends SIGTERM. Use Wait to wait for the exit.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM, true) }

// Kill sends SIGKILL, which stands for the loss of the VM, and waits for the exit.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL, true)
	<-p.exitedChannel()
}

// Pause stops the process with SIGSTOP, which it can't notice, until Resume.
func (p *Process) Pause() { p.signal(syscall.SIGSTOP, false) }

// Resume continues a paused process.
func (p *Process) Resume() { p.signal(syscall.SIGCONT, false) }

// Hangup sends SIGHUP, on which the process reloads its settings.
func (p *Process) Hangup() { p.signal(syscall.SIGHUP, false) }

// Wait waits until the process exits. It returns an error if the exit code is not 0.
func (p *Process) Wait() error {
	p.t.Helper()
	select {
	case <-p.exitedChannel():
	case <-time.After(waitTimeout):
		p.t.Fatalf("%s did not exit within %s", p.Name, waitTimeout)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exitErr
}

// Log returns the output of all runs of the process.
func (p *Process) Log() string {
	text, _ := os.ReadFile(p.logFile) // a process that was never started has no file
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

// stopAndCheck kills the process. It fails the test if the process had exited without a request,
// as after a violated invariant, or if its log shows a data race, panic or fatal error.
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
			p.t.Errorf("%s exited without a request: %v", p.Name, p.exitErr)
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

// failedLogDirVariable is the environment variable that names a directory for the complete logs of
// the processes of failed tests. Without it only the end of each log is printed.
const failedLogDirVariable = "YUCCADRIFT_KEPT_LOGS"

func (p *Process) saveLog(text string) {
	dir := os.Getenv(failedLogDirVariable)
	if dir == "" {
		return
	}
	name := strings.NewReplacer("/", "_", "#", "_").Replace(p.t.Name())
	file := filepath.Join(dir, fmt.Sprintf("%s-%d-%s.log", name, os.Getpid(), p.Name))
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		p.t.Logf("can't save the log of %s: %v", p.Name, err)
		return
	}
	p.t.Logf("complete log of %s: %s", p.Name, file)
}

func tail(text []byte) []byte {
	if len(text) <= logTailBytes {
		return text
	}
	text = text[len(text)-logTailBytes:]
	return text[bytes.IndexByte(text, '\n')+1:]
}

// until polls condition until it returns true and fails the test after waitTimeout.
func until(t testing.TB, description string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %s: %s", waitTimeout, description)
		}
		time.Sleep(pollInterval)
	}
}
