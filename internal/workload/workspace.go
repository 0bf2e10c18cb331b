package workload

import (
	"crypto/sha256"

	"github.com/pkg/errors"
)

// Workspace is the account of a team that hands in jobs. The zero value is the workspace of jobs
// that were handed in without a key.
type Workspace struct {
	Name string
	// Weight is the workspace's share while a service is full, and the jobs a second that it may
	// hand in with full rank; 0 is no limit.
	Weight float64
	// Cap bounds what its tasks may reserve on all workers together. A zero resource has no bound.
	Cap Resources
}

// KeyDigest is the digest of a workspace's key. Keys are only kept as digests.
type KeyDigest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// maxWorkspaceName bounds the name of a workspace in bytes: it is part of a record's key in the
// store, which has at most 255 bytes.
const maxWorkspaceName = 200

// Workspaces are the workspaces of a configuration and their keys.
type Workspaces struct {
	list   []Workspace
	byName map[string]int
	byKey  map[KeyDigest]int
}

// NewWorkspaces returns an empty set of workspaces.
func NewWorkspaces() *Workspaces {
	return &Workspaces{byName: map[string]int{}, byKey: map[KeyDigest]int{}}
}

// Add adds a workspace with its keys. It returns an error, which names no key, if the workspace is
// invalid or clashes with another one.
func (s *Workspaces) Add(w Workspace, keys []string) error {
	switch {
	case w.Name == "" || len(w.Name) > maxWorkspaceName:
		return errors.Errorf("workspace %q: the name must have 1 to %d bytes", w.Name, maxWorkspaceName)
	case w.Weight < 0:
		return errors.Errorf("workspace %q: weight %g is negative", w.Name, w.Weight)
	case w.Cap.CPU < 0 || w.Cap.MemoryMB < 0 || w.Cap.GPU < 0:
		return errors.Errorf("workspace %q: cap %+v is negative", w.Name, w.Cap)
	}
	if _, ok := s.byName[w.Name]; ok {
		return errors.Errorf("workspace %q is listed twice", w.Name)
	}
	index := len(s.list)
	for i, key := range keys {
		if key == "" {
			return errors.Errorf("workspace %q: key %d is empty", w.Name, i)
		}
		digest := DigestOf(key)
		if other, ok := s.byKey[digest]; ok && other != index {
			return errors.Errorf("key %d of workspace %q is also a key of workspace %q", i, w.Name, s.list[other].Name)
		}
		s.byKey[digest] = index
	}
	s.byName[w.Name] = index
	s.list = append(s.list, w)
	return nil
}

// List returns the workspaces in the order in which they were added. It may be called on nil.
func (s *Workspaces) List() []Workspace {
	if s == nil {
		return nil
	}
	return s.list
}

// ByName returns the workspace of that name. It may be called on nil.
func (s *Workspaces) ByName(name string) (Workspace, bool) {
	if s == nil {
		return Workspace{}, false
	}
	i, ok := s.byName[name]
	if !ok {
		return Workspace{}, false
	}
	return s.list[i], true
}

// ByKey returns the workspace that has a key. The look-up is by the key's digest, so its duration
// tells nothing about other keys.
func (s *Workspaces) ByKey(key string) (Workspace, bool) {
	i, ok := s.byKey[DigestOf(key)]
	if !ok {
		return Workspace{}, false
	}
	return s.list[i], true
}

// Requester identifies who sends a request for a job: a workspace, or a caller without a key on a
// public queue.
type Requester struct {
	Workspace string `json:"w,omitempty"` // "" for a caller without a key
	Queue     string `json:"q,omitempty"` // the queue that the request was sent to
}

// MayAccess reports whether the requester may see and cancel a job that a workspace handed in to a
// queue. Callers without a key reach a workspace's job only through its own queue, which is public
// then. Jobs of no workspace are open to all callers.
func (r Requester) MayAccess(workspace, queue string) bool {
	if workspace == "" || r.Workspace == workspace {
		return true
	}
	return r.Workspace == "" && r.Queue == queue
}
