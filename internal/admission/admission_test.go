package admission

import (
	"container/heap"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var start = time.UnixMilli(1_700_000_000_000)

// lookup is a job of 1 s on a queue with a target of 600 ms and 1.6 times the run time more.
var lookup = Job{Work: 10, Path: time.Second, Limit: LimitOf(time.Second, 1.6, 600*time.Millisecond)}

func TestOnlyAFreshProspectBeyondTheLimitRejects(t *testing.T) {
	assert.Equal(t, 6600*time.Millisecond, lookup.Limit)
	hopeless := Prospect{Wait: 7001 * time.Millisecond, Expected: 12 * time.Second, MinWork: 5}
	assert.Equal(t, Verdict{Reject: true, RetryAfter: 6400 * time.Millisecond}, Judge(hopeless, 0, lookup))
	assert.True(t, Judge(hopeless, MaxAge, lookup).Reject)
	assert.Equal(t, minRetryAfter, Judge(Prospect{Wait: 7001 * time.Millisecond}, 0, lookup).RetryAfter)
	assert.Equal(t, maxRetryAfter, Judge(Prospect{Wait: time.Hour, Expected: time.Hour}, 0, lookup).RetryAfter)
	small, long := lookup, lookup
	small.Work = 4
	long.Path = 7 * time.Second
	for name, admitted := range map[string]Verdict{
		"old":                     Judge(hopeless, MaxAge+1, lookup),
		"from the future":         Judge(hopeless, -1, lookup),
		"unknown":                 Judge(Prospect{}, 0, lookup),
		"of larger jobs":          Judge(hopeless, 0, small),
		"within the limit":        Judge(Prospect{Wait: 7 * time.Second}, 0, lookup),
		"estimate is implausible": Judge(hopeless, 0, long),
	} {
		assert.Equal(t, Verdict{}, admitted, name)
	}
}

// A peak that begins with no room yet rejects nothing for as long as VMs take to come, and a wait around the
// limit doesn't switch rejections on and off.
func TestGateWaitsForRoomAndDoesNotFlutter(t *testing.T) {
	var g Gate
	limit := time.Second
	for at := time.Duration(0); at < SettleTime; at += 100 * time.Millisecond {
		assert.False(t, g.Update(2*limit, limit, start.Add(at)))
	}
	assert.False(t, g.Update(limit/2, limit, start.Add(SettleTime)), "room has come")
	assert.True(t, g.IsOpen())
	changes, closed := 0, false
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range 600 {
		wait := time.Duration((0.9 + 0.4*rng.Float64()) * float64(limit))
		if now := g.Update(wait, limit, start.Add(time.Duration(i)*100*time.Millisecond)); now != closed {
			closed = now
			changes++
		}
	}
	assert.LessOrEqual(t, changes, 1)
}

func TestBookIsBoundedAndForgets(t *testing.T) {
	var b Book
	p := Prospect{Wait: time.Second}
	for i := range 2 * maxEntries {
		b.Put(Key{"queue", strconv.Itoa(i)}, p, start)
	}
	assert.Equal(t, maxEntries, len(b.entries))
	b.Put(Key{"queue", "0"}, Prospect{}, start.Add(-time.Second))
	_, age, ok := b.Get(Key{"queue", "0"}, start.Add(time.Second))
	assert.True(t, ok, "an answer that was overtaken changes nothing")
	assert.Equal(t, time.Second, age)
	b.Put(Key{"queue", "0"}, Prospect{}, start.Add(time.Second))
	_, _, ok = b.Get(Key{"queue", "0"}, start.Add(time.Second))
	assert.False(t, ok, "nothing speaks against it any more")
	_, _, ok = b.Get(Key{"queue", "1"}, start.Add(forgetAfter+1))
	assert.False(t, ok)
	b.Put(Key{"queue", "first"}, p, start.Add(forgetAfter+1))
	b.Put(Key{"queue", "second"}, p, start.Add(forgetAfter+1))
	assert.Equal(t, 2, len(b.entries), "what is forgotten makes room")
}

// attempt is a time at which a caller sends its job, in the order of time.
type attempt struct {
	at    time.Duration
	first time.Duration
	tries int
}

type attempts []attempt

func (a attempts) Len() int           { return len(a) }
func (a attempts) Less(i, j int) bool { return a[i].at < a[j].at }
func (a attempts) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *attempts) Push(x any)        { *a = append(*a, x.(attempt)) }
func (a *attempts) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

// crowd is the outcome of a flash crowd.
type crowd struct {
	admitted, gaveUp, rejections int
	// servableRejected are rejections of jobs that could have been of use, hopelessAdmitted admissions of jobs that
	// couldn't, since the gate was closed.
	servableRejected, hopelessAdmitted int
}

// playCrowd plays 10,000 callers who come within 5 s to a service that starts 400 jobs a second, first in,
// first out. Prospects are some time old and wrong by a factor. Callers come back when they are told to,
// spread over as long again.
func playCrowd(age time.Duration, factor float64) crowd {
	const perSecond = 400.0
	var list attempts
	for i := range 10_000 {
		at := time.Duration(i) * 500 * time.Microsecond
		list = append(list, attempt{at: at, first: at})
	}
	heap.Init(&list)
	rng := rand.New(rand.NewPCG(1, 5))
	var c crowd
	var gate Gate
	var waits []time.Duration // in steps of 100 ms
	waiting, now := 0.0, time.Duration(0)
	for list.Len() > 0 {
		a := heap.Pop(&list).(attempt)
		waiting = max(0, waiting-(a.at-now).Seconds()*perSecond)
		now = a.at
		for len(waits) <= int(now/(100*time.Millisecond)) {
			waits = append(waits, time.Duration(waiting/perSecond*float64(time.Second)))
			gate.Update(time.Duration(factor*float64(waits[len(waits)-1])), LateFactor*600*time.Millisecond, start.Add(now))
		}
		known := waits[max(0, len(waits)-1-int(age/(100*time.Millisecond)))]
		verdict := Verdict{}
		if gate.IsClosed() {
			wrong := time.Duration(factor * float64(known))
			verdict = Judge(Prospect{Wait: wrong, Expected: wrong}, min(age, MaxAge), lookup)
		}
		isServable := time.Duration(waiting/perSecond*float64(time.Second))+lookup.Path <= lookup.Limit
		if !verdict.Reject {
			c.admitted++
			waiting++
			if gate.IsClosed() && !isServable {
				c.hopelessAdmitted++
			}
			continue
		}
		c.rejections++
		if isServable {
			c.servableRejected++
		}
		if a.tries == 4 {
			c.gaveUp++
			continue
		}
		heap.Push(&list, attempt{at: now + time.Duration((1+rng.Float64())*float64(verdict.RetryAfter)), first: a.first, tries: a.tries + 1})
	}
	return c
}

// A flash crowd of 10,000 callers, four retries each. After the time in which room may come nobody is admitted
// without hope and nobody sent away who could be served, but for 0.02 with prospects that are as old as is used.
// Predictions that are three times too short or too long send nobody away in vain.
func TestFlashCrowdOf10000Retries(t *testing.T) {
	exact, old, short, long := playCrowd(0, 1), playCrowd(MaxAge, 1), playCrowd(0, 1.0/3), playCrowd(0, 3)
	t.Logf("exact %+v, old %+v, a third %+v, three times %+v", exact, old, short, long)
	assert.Positive(t, exact.rejections)
	assert.LessOrEqual(t, exact.servableRejected+exact.hopelessAdmitted, 10_000/100)
	assert.LessOrEqual(t, old.servableRejected+old.hopelessAdmitted, 10_000/50)
	assert.Zero(t, short.servableRejected)
	assert.Zero(t, long.servableRejected)
	for _, c := range []crowd{exact, old, short, long} {
		assert.Equal(t, 10_000, c.admitted+c.gaveUp)
	}
}

func BenchmarkBookOf640Workspaces(b *testing.B) {
	keys := make([]Key, 640)
	for i := range keys {
		keys[i] = Key{"queue", "workspace-" + strconv.Itoa(i)}
	}
	b.ReportAllocs()
	for b.Loop() {
		var book Book
		for _, k := range keys {
			book.Put(k, Prospect{Wait: time.Second}, start)
		}
	}
}
