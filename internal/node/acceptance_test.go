package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"

	"github.com/yuccadrift/yuccadrift/internal/acceptance"
	"github.com/yuccadrift/yuccadrift/internal/intake"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform"
)

// gatedStore implements intake.LocalStore. It stores each record that it takes from the channel.
type gatedStore chan platform.StoreStatus

func (s gatedStore) Store(context.Context, int, workload.Record, <-chan time.Time) (platform.StoreStatus, bool, error) {
	return <-s, false, nil
}
func (gatedStore) CheckAvailable() error { return nil }
func (gatedStore) IsSlow() bool          { return false }

// ownerNode implements intake.Peers for the node of the owner.
type ownerNode struct{ intake.Peers }

func (ownerNode) Owner(int) string { return "" }

// ignorantOwner knows no job. It runs recheck when it reads the partition.
type ignorantOwner struct{ recheck func() }

func (ignorantOwner) Stands(context.Context, workload.JobID, bool, workload.Requester) (stands, ok bool) {
	return false, true
}

func (o ignorantOwner) Recheck(context.Context) error {
	o.recheck()
	return nil
}
func (ignorantOwner) IsCurrent() bool                  { return true }
func (ignorantOwner) OwnedFor(time.Time) time.Duration { return time.Hour }

// startAttempt stores a record for another node. The store holds it back.
func startAttempt(t *testing.T, o *ownerDirectory, partition int, record workload.Record) (ended chan intake.StoreResponse) {
	ended = make(chan intake.StoreResponse, 1)
	go func() {
		ended <- o.intake.Serve(t.Context(), intake.StoreRequest{Partition: partition, Record: record})
	}()
	synctest.Wait()
	return ended
}

func newOwnerNode() (*ownerDirectory, gatedStore) {
	store := make(gatedStore)
	logger := hclog.NewNullLogger()
	return &ownerDirectory{intake: intake.New(store, ownerNode{}, logger), logger: logger, checkStore: func() error { return nil }}, store
}

// Guards against a job that is refused because its record was stored after the owner's read was sent, and
// its attempt had ended when the attempts were looked at.
func TestAnAttemptThatIsStoredDuringAQuestionCounts(t *testing.T) {
	by, ofAnother := workload.Requester{Workspace: "ward", Queue: "quick"}, workload.Requester{Workspace: "clinic", Queue: "quick"}
	record := workload.Record{Job: "00000000000000aa", Submission: &workload.Submission{Workspace: by.Workspace, Queue: by.Queue}}
	request := acceptance.Request{Partition: 4, Job: record.Job}
	synctest.Test(t, func(t *testing.T) {
		o, store := newOwnerNode()
		stands, report, ok := o.reportOn(t.Context(), ignorantOwner{func() {
			ended := startAttempt(t, o, request.Partition, record)
			store <- platform.StoreOK
			assert.Equal(t, platform.StoreOK, (<-ended).Status)
		}}, request, by)
		assert.True(t, ok && report.ReadSinceAsked)
		assert.True(t, stands)

		stands, report, _ = o.reportOn(t.Context(), ignorantOwner{func() {}}, request, ofAnother)
		assert.False(t, stands || report.HasOpenAttempt, "another workspace's request")
	})
}

// Guards against the same of an attempt that was in flight before the question, whoever has sent it.
func TestAnAttemptThatWasOpenAtTheQuestionCounts(t *testing.T) {
	record := workload.Record{Job: "00000000000000aa", Cancel: true}
	request := acceptance.Request{Partition: 4, Job: record.Job, Cancels: true}
	synctest.Test(t, func(t *testing.T) {
		o, store := newOwnerNode()
		ended := startAttempt(t, o, request.Partition, record)
		_, report, _ := o.reportOn(t.Context(), ignorantOwner{func() {
			store <- platform.StoreOK
			<-ended
		}}, request, workload.Requester{Queue: "quick"})
		assert.True(t, report.HasOpenAttempt)
	})
}
