package node

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/yuccadrift/yuccadrift/internal/admission"
	"github.com/yuccadrift/yuccadrift/internal/nodepeer"
)

// Guards against a flash crowd that becomes one question to the owner for each of its requests.
func TestOneQuestionOfANodeAtATime(t *testing.T) {
	var b prospectBook
	key := admission.Key{Queue: "quick", Workspace: "ward"}
	answered, mustAsk := b.begin(key)
	assert.True(t, mustAsk)
	const others = 100
	var served atomic.Int32
	done := make(chan struct{})
	for range others {
		c, mustAsk := b.begin(key)
		assert.False(t, mustAsk)
		go func() {
			<-c
			if p, _, ok := b.get(key); ok && p.Wait == 5*time.Second && served.Add(1) == others {
				close(done)
			}
		}()
	}
	_, otherKey := b.begin(admission.Key{Queue: "quick", Workspace: "clinic"})
	assert.True(t, otherKey)
	b.put(key, prospectToWire(admission.Prospect{Wait: 5 * time.Second}), time.Now())
	b.end(key, answered)
	<-done
	_, mustAsk = b.begin(key)
	assert.True(t, mustAsk, "the question is over")
}

// Guards against a lost owner for which every submission of some seconds waits.
func TestAQuestionWithoutAnswerIsNotRepeated(t *testing.T) {
	key := admission.Key{Queue: "quick", Workspace: "ward"}
	hopeless := nodepeer.Response{IsOwner: true, Prospect: prospectToWire(admission.Prospect{Wait: 5 * time.Second})}
	for name, c := range map[string]struct {
		response        nodepeer.Response
		called, isKnown bool
	}{
		"answer":               {hopeless, true, true},
		"no reason any more":   {nodepeer.Response{IsOwner: true}, true, false},
		"no answer":            {nodepeer.Response{}, false, false},
		"not the owner":        {nodepeer.Response{Prospect: hopeless.Prospect}, true, false},
		"answer after timeout": {hopeless, false, false},
	} {
		var b prospectBook
		now := time.Now()
		b.put(key, hopeless.Prospect, now)
		b.putAnswer(key, c.response, c.called, now)
		_, _, ok := b.get(key)
		assert.Equal(t, c.isKnown, ok, name)
	}
}

func TestProspectsOnTheWire(t *testing.T) {
	assert.Nil(t, prospectToWire(admission.Prospect{}))
	assert.True(t, prospectFromWire(nil).IsZero(), "also the answer of an earlier version")
	p := admission.Prospect{Wait: 1500 * time.Millisecond, Expected: 3 * time.Second, MinWork: 12.5}
	assert.Equal(t, &nodepeer.Prospect{WaitMS: 1500, ExpectedMS: 3000, MinWork: 12.5}, prospectToWire(p))
	assert.Equal(t, p, prospectFromWire(prospectToWire(p)))
}
