package node

import (
	"context"
	"sync"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/admission"
	"github.com/yuccadrift/yuccadrift/internal/nodepeer"
)

// prospectBook is the node's admission.Book, and the questions to owners that are in progress.
type prospectBook struct {
	mu     sync.Mutex
	book   admission.Book
	asking map[admission.Key]chan struct{} // closed with the answer
}

// put records what an owner told of the next job of a queue and workspace, in answer to a call that was sent
// at sentAt.
func (b *prospectBook) put(key admission.Key, p *nodepeer.Prospect, sentAt time.Time) {
	if key.Workspace == "" {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.book.Put(key, prospectFromWire(p), sentAt)
}

// putAnswer records the answer to a question. Without one the reason to ask is forgotten, so that the next
// requests don't wait for the same owner.
func (b *prospectBook) putAnswer(key admission.Key, response nodepeer.Response, called bool, sentAt time.Time) {
	if !called || !response.IsOwner {
		response.Prospect = nil
	}
	b.put(key, response.Prospect, sentAt)
}

func (b *prospectBook) get(key admission.Key) (p admission.Prospect, age time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.book.Get(key, time.Now())
}

// begin returns a channel that is closed once the question on key has its answer, and whether the caller must
// ask it.
func (b *prospectBook) begin(key admission.Key) (answered chan struct{}, mustAsk bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c, ok := b.asking[key]; ok {
		return c, false
	}
	if b.asking == nil {
		b.asking = map[admission.Key]chan struct{}{}
	}
	c := make(chan struct{})
	b.asking[key] = c
	return c, true
}

func (b *prospectBook) end(key admission.Key, answered chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.asking, key)
	close(answered)
}

// prospectTimeout bounds a question to an owner. An owner answers within milliseconds, and without an answer
// the job is admitted.
const prospectTimeout = 150 * time.Millisecond

// Prospect returns the prospect of the next job of a queue and a workspace. The owner is asked only if one of
// its answers has given reason to, by one request of this node at a time.
func (o *ownerDirectory) Prospect(ctx context.Context, service string, key admission.Key) (p admission.Prospect, age time.Duration, ok bool) {
	p, age, ok = o.prospects.get(key)
	if !ok || age <= admission.MaxAge {
		return p, age, ok
	}
	ctx, cancel := context.WithTimeout(ctx, prospectTimeout)
	defer cancel()
	answered, mustAsk := o.prospects.begin(key)
	if mustAsk {
		defer o.prospects.end(key, answered)
		sentAt := time.Now()
		response, called := o.callOwnerOfOnce(ctx, service, nodepeer.MethodProspect, nodepeer.Request{Queue: key.Queue, Workspace: key.Workspace})
		o.prospects.putAnswer(key, response, called, sentAt)
	} else {
		select {
		case <-answered:
		case <-ctx.Done():
		}
	}
	return o.prospects.get(key)
}

// ServeProspect serves MethodProspect.
func (o *ownerDirectory) ServeProspect(ctx context.Context, req nodepeer.Request) (nodepeer.Response, error) {
	localOwner := o.localOwner(req.Partition)
	if localOwner == nil {
		return nodepeer.Response{}, nil
	}
	p, ok := localOwner.Prospect(ctx, req.Queue, req.Workspace)
	if !ok {
		return nodepeer.Response{}, nil
	}
	return nodepeer.Response{IsOwner: true, Prospect: prospectToWire(p)}, nil
}

func prospectToWire(p admission.Prospect) *nodepeer.Prospect {
	if p.IsZero() {
		return nil
	}
	return &nodepeer.Prospect{WaitMS: p.Wait.Milliseconds(), ExpectedMS: p.Expected.Milliseconds(), MinWork: p.MinWork}
}

func prospectFromWire(p *nodepeer.Prospect) admission.Prospect {
	if p == nil {
		return admission.Prospect{}
	}
	return admission.Prospect{Wait: time.Duration(p.WaitMS) * time.Millisecond, Expected: time.Duration(p.ExpectedMS) * time.Millisecond, MinWork: p.MinWork}
}
