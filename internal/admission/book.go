package admission

import "time"

// Key names whose next job a prospect is of.
type Key struct{ Queue, Workspace string }

// Book is what an entry node remembers of prospects. The zero value is empty. An owner that can't serve
// all tells with its answers to other calls, so nothing is asked while all is well.
type Book struct {
	entries map[Key]entry
}

type entry struct {
	prospect Prospect
	asOf     time.Time
}

const (
	// maxEntries bounds the memory of a book to some hundred kB.
	maxEntries = 4096
	// forgetAfter is how long a prospect is remembered as a reason to ask again.
	forgetAfter = 5 * time.Second
)

// Put records a prospect that an owner gave at asOf.
func (b *Book) Put(key Key, p Prospect, asOf time.Time) {
	if old, ok := b.entries[key]; ok && asOf.Before(old.asOf) {
		return
	}
	if p.IsZero() {
		delete(b.entries, key)
		return
	}
	if b.entries == nil {
		b.entries = map[Key]entry{}
	}
	if _, ok := b.entries[key]; !ok && len(b.entries) >= maxEntries {
		b.forget(asOf)
		if len(b.entries) >= maxEntries {
			return
		}
	}
	b.entries[key] = entry{p, asOf}
}

func (b *Book) forget(now time.Time) {
	for key, e := range b.entries {
		if now.Sub(e.asOf) > forgetAfter {
			delete(b.entries, key)
		}
	}
}

// Get returns the last prospect and its age. ok is false if there is none that is worth a question.
func (b *Book) Get(key Key, now time.Time) (p Prospect, age time.Duration, ok bool) {
	e, ok := b.entries[key]
	if !ok || now.Sub(e.asOf) > forgetAfter {
		return Prospect{}, 0, false
	}
	return e.prospect, now.Sub(e.asOf), true
}
