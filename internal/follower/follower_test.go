package follower_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/follower"
	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/platform"
	"github.com/yuccadrift/yuccadrift/internal/record"
	"github.com/yuccadrift/yuccadrift/internal/standin"
)

// The log keeps 100 entries. Three nodes write 400 and then nothing for three
// hours, in which retention by age removes all entries and early snapshots. A
// node that starts at any of these times must find a snapshot and reach the
// others' state, and nodes that race must publish few duplicate snapshots.
func TestStartFromSnapshotAndTail(t *testing.T) {
	run(t, func(t *testing.T) {
		log := standin.New(standin.Options{RetentionEntries: 100, RetentionAge: time.Hour})
		a, b, c := start(t, log, "a", nil), start(t, log, "b", nil), start(t, log, "c", nil)
		for range 4 {
			for range 100 {
				a.writeRecords(1)
				advance(2 * time.Second)
			}
			late := start(t, log, "late", nil)
			advance(2 * time.Second)
			requireSameState(t, a, late)
		}
		advance(3 * time.Hour)
		late := start(t, log, "late", nil)
		advance(2 * time.Second)
		for _, n := range []*node{b, c, late} {
			requireSameState(t, a, n)
			require.Equal(t, follower.Following, n.condition())
		}
		due := 3*6 + 400/50 // by time, and at each half of the retained range
		require.LessOrEqual(t, snapshotsOn(t, log), due*3/2)
	})
}

// A node was cut off from the log until retention had removed entries that it
// had not folded. While no snapshot covers them it asks its peers. If the peers
// are behind too, it keeps its state, reports the gap and lets Fresh grow old,
// so that it decides nothing. Once a snapshot is available it continues.
func TestGap(t *testing.T) {
	run(t, func(t *testing.T) {
		log := standin.New(standin.Options{RetentionEntries: 50})
		a := start(t, log, "a", noSnapshots)
		asked, behind := &fakePeers{}, &fakePeers{}
		old := start(t, log, "old", nil)
		lone := start(t, log, "lone", func(c *follower.Config, _ *logLink) { c.Peers = behind })
		withPeers := start(t, log, "with", func(c *follower.Config, _ *logLink) { c.Peers = asked })
		advance(time.Second)
		a.writeRecords(5)
		old.logLink.Cut(true)
		advance(time.Second)
		a.writeRecords(5)
		advance(time.Second)
		for _, n := range []*node{lone, withPeers} {
			n.logLink.Cut(true)
		}
		advance(time.Second) // reads in flight end
		a.writeRecords(100)
		asked.set(a)
		behind.set(old)
		for _, n := range []*node{lone, withPeers} {
			n.logLink.Cut(false)
		}
		advance(5 * time.Second)
		requireSameState(t, a, withPeers)
		require.Equal(t, follower.Following, withPeers.condition())
		require.Equal(t, follower.Gap, lone.condition())
		require.EqualValues(t, 10, lone.offset())
		require.Greater(t, time.Since(lone.Fresh()), 4*time.Second)
		advance(time.Minute) // the node with peers has published a snapshot meanwhile
		requireSameState(t, a, lone)
		require.Equal(t, follower.Following, lone.condition())
	})
}

// A node starts while the log is unavailable. It serves the newest state of its
// peers, never an older one, and follows the log once it is available again.
func TestStartWhileLogIsUnavailable(t *testing.T) {
	run(t, func(t *testing.T) {
		log := standin.New(standin.Options{})
		a, behind := start(t, log, "a", nil), start(t, log, "behind", nil)
		advance(time.Second)
		a.writeRecords(5)
		advance(time.Second)
		behind.logLink.Cut(true)
		advance(time.Second)
		a.writeRecords(5)
		_, err := log.ActivateFaults(standin.Fault{Kind: standin.LogRefuse, Target: stream}, standin.Fault{Kind: standin.LogRefuse, Target: snapshots})
		require.NoError(t, err)
		asked := &fakePeers{list: []*node{a, behind}}
		late := start(t, log, "late", func(c *follower.Config, _ *logLink) { c.Peers = asked })
		advance(time.Second)
		requireSameState(t, a, late)
		require.Equal(t, follower.CutOff, late.condition())
		require.Zero(t, late.Fresh())
		require.True(t, late.Started())
		lonely := start(t, log, "lonely", nil)
		advance(time.Minute)
		require.Equal(t, follower.Starting, lonely.condition())
		require.False(t, lonely.Started())

		log.ClearAllFaults()
		advance(5 * time.Second)
		a.writeRecords(1)
		advance(time.Second)
		requireSameState(t, a, late)
		requireSameState(t, a, lonely)
		require.Equal(t, follower.Following, late.condition())
	})
}

// A node loses its connection to the log but not to its peers. Within seconds
// it must learn what the others fold, through their latest entries or, if these
// do not reach back far enough, their state. Its own Fresh must not advance. It
// must ignore a peer that follows another log.
func TestFollowThroughPeers(t *testing.T) {
	run(t, func(t *testing.T) {
		log := standin.New(standin.Options{AppendsPerSecond: -1})
		asked := &fakePeers{}
		a := start(t, log, "a", nil)
		cut := start(t, log, "cut", func(c *follower.Config, _ *logLink) { c.Peers = asked })
		advance(time.Second)
		a.writeRecords(5)
		advance(time.Second)
		cut.logLink.Cut(true)
		asked.set(a)
		lost := time.Now()
		advance(2 * time.Second)
		a.writeRecords(5)
		advance(time.Second)
		requireSameState(t, a, cut)
		require.False(t, cut.Fresh().After(lost))

		asked.set()
		a.writeRecords(1500) // more than a node keeps for peers
		asked.set(a)
		advance(time.Second)
		requireSameState(t, a, cut)

		fresh := standin.New(standin.Options{AppendsPerSecond: -1})
		other := start(t, fresh, "other", noSnapshots)
		advance(time.Second)
		other.writeRecords(int(cut.offset()) + 10)
		asked.set(other)
		digest := cut.digest()
		advance(time.Minute)
		require.Equal(t, digest, cut.digest())

		cut.logLink.Cut(false)
		a.writeRecords(1)
		advance(5 * time.Second)
		requireSameState(t, a, cut)
		require.Equal(t, follower.Following, cut.condition())
	})
}

// The platform loses its log and starts an empty one. A node keeps its state
// and decides nothing. Other nodes fill the new log past the node's offset, and
// its entries must not be folded on top of the old state. When the old log is
// back, the node continues.
func TestForeignLog(t *testing.T) {
	run(t, func(t *testing.T) {
		log, fresh := standin.New(standin.Options{}), standin.New(standin.Options{})
		n := start(t, log, "n", nil)
		advance(time.Second)
		n.writeRecords(20)
		digest := n.digest()
		n.logLink.Redirect(fresh)
		advance(5 * time.Second)
		require.Equal(t, follower.Foreign, n.condition())
		other := start(t, fresh, "other", noSnapshots)
		advance(time.Second)
		other.writeRecords(40)
		advance(time.Minute)
		require.Equal(t, follower.Foreign, n.condition())
		require.Equal(t, digest, n.digest())
		require.Greater(t, time.Since(n.Fresh()), time.Minute)

		n.logLink.Redirect(log)
		advance(5 * time.Second)
		require.Equal(t, follower.Following, n.condition())
		n.writeRecords(1)
	})
}

// The log is replaced while the node is stopped, so the node never sees the
// short log but only one that has grown past its offset. After the pause the
// first read is that of CatchUp, which must detect the replacement.
func TestForeignLogAfterPause(t *testing.T) {
	run(t, func(t *testing.T) {
		log, fresh := standin.New(standin.Options{}), standin.New(standin.Options{})
		n := start(t, log, "n", nil)
		advance(time.Second)
		n.writeRecords(5)
		n.logLink.Cut(true)
		other := start(t, fresh, "other", noSnapshots)
		advance(time.Minute)
		other.writeRecords(40)
		n.logLink.Redirect(fresh)
		n.logLink.Cut(false)
		require.Error(t, n.CatchUp(t.Context()))
		advance(5 * time.Second)
		require.EqualValues(t, 5, n.offset())
		require.Equal(t, follower.Foreign, n.condition())
	})
}

// Leases depend on Fresh. On a quiet log it must never be older than a second,
// and it must stop advancing when the log cannot be read. A slow reply says
// nothing about what was appended after its read was sent.
func TestFresh(t *testing.T) {
	run(t, func(t *testing.T) {
		log := standin.New(standin.Options{})
		n := start(t, log, "n", nil)
		for range 100 {
			advance(370 * time.Millisecond)
			require.LessOrEqual(t, time.Since(n.Fresh()), time.Second)
		}
		_, err := log.ActivateFaults(standin.Fault{Kind: standin.LogSlow, Target: "read", DelayMS: 3000})
		require.NoError(t, err)
		advance(5 * time.Second)
		for range 20 {
			advance(370 * time.Millisecond)
			require.GreaterOrEqual(t, time.Since(n.Fresh()), 3*time.Second)
		}
		log.ClearAllFaults()
		advance(5 * time.Second)
		n.logLink.Cut(true)
		advance(2 * time.Second) // a read in flight still counts
		last := n.Fresh()
		advance(time.Hour)
		require.Equal(t, last, n.Fresh())
		require.Equal(t, follower.CutOff, n.condition())
		n.logLink.Cut(false)
		advance(3 * time.Second)
		require.LessOrEqual(t, time.Since(n.Fresh()), time.Second)
	})
}

// A node whose clock is 74 years ahead joins as a member and nothing else is
// written. The other nodes write their times on their own; the ledger's time
// goes back, and so does the time until which removed members count as granting
// claims.
func TestWitnessesRevertWrongClock(t *testing.T) {
	run(t, func(t *testing.T) {
		log := standin.New(standin.Options{})
		a := start(t, log, "a", nil)
		start(t, log, "b", nil)
		advance(time.Second)
		rec := a.draft()
		rec.Author, rec.Time = "wrong", time.Now().AddDate(74, 0, 0)
		rec.Subject.Kind, rec.Body = record.SubjectMember, record.MemberJoin{Node: "wrong", Address: "10.0.0.1:1"}
		_, err := a.Propose(t.Context(), rec)
		require.NoError(t, err)
		a.View(func(s *ledger.State) { require.NotZero(t, s.ClockAhead(time.Now())) })
		advance(15 * time.Second)
		a.View(func(s *ledger.State) {
			require.Zero(t, s.ClockAhead(time.Now()))
			require.Equal(t, []string{"wrong"}, s.Clock.Distrusted)
			require.WithinRange(t, s.MembersUntil, time.Now(), time.Now().Add(ledger.MaxSkew))
		})
	})
}

// A snapshot that does not fit one entry is published in parts, which may
// interleave with those of another node. Incomplete and corrupt snapshots must
// be skipped.
func TestLargeSnapshots(t *testing.T) {
	run(t, func(t *testing.T) {
		log := standin.New(standin.Options{RetentionEntries: 500})
		a := start(t, log, "a", nil)
		advance(time.Second)
		for range 200 {
			rec := a.draft()
			rec.Subject = record.Subject{Kind: record.SubjectService, Name: rec.ID}
			rec.Body = record.DocumentPublish{Text: incompressible(rec.ID)}
			out, err := a.Propose(t.Context(), rec)
			require.NoError(t, err)
			require.Equal(t, ledger.Effective, out.Status, out.Reason)
		}
		data, err := a.Snapshot()
		require.NoError(t, err)
		require.Greater(t, len(data), 2*platform.MaxEntryBytes)
		advance(11 * time.Minute)
		require.Greater(t, snapshotsOn(t, log), 2)
		for _, junk := range []string{"", "yd-part-1\n", "yd-part-1\n12345678\x00\x00\x00\x02half"} {
			_, err := log.Append(t.Context(), snapshots, [][]byte{[]byte(junk)})
			require.NoError(t, err)
		}
		a.writeRecords(450)
		late := start(t, log, "late", nil)
		advance(2 * time.Second)
		requireSameState(t, a, late)
	})
}

// Every process checks for snapshots of others every few seconds. If each check
// read a whole snapshot, that would be most of what a process reads. In an hour
// two nodes must read each snapshot only once.
func TestSnapshotsAreReadOnce(t *testing.T) {
	run(t, func(t *testing.T) {
		log := standin.New(standin.Options{})
		a := start(t, log, "a", nil)
		b := start(t, log, "b", nil)
		advance(time.Second)
		a.writeRecords(50)
		advance(time.Hour)
		var published int64
		batch, err := log.Read(t.Context(), snapshots, 1, 1000, 0)
		require.NoError(t, err)
		for _, e := range batch.Entries {
			published += int64(len(e.Data))
		}
		require.Greater(t, published, int64(0))
		for _, n := range []*node{a, b} {
			require.LessOrEqual(t, n.logLink.snapshotBytes.Load(), published)
		}
	})
}

// Two nodes must compute checkpoints at the same entries, although one started
// from a snapshot in between. A node with corrupt memory must show another
// digest from then on.
func TestCheckpoints(t *testing.T) {
	run(t, func(t *testing.T) {
		log := standin.New(standin.Options{AppendsPerSecond: -1})
		a := start(t, log, "a", nil)
		advance(time.Second)
		junk := func(entries int) {
			for range entries / 1000 {
				_, err := log.Append(t.Context(), stream, slices.Repeat([][]byte{[]byte("junk")}, 1000))
				require.NoError(t, err)
			}
			advance(time.Second)
		}
		junk(9000)
		require.EqualValues(t, 8192, a.Checkpoint().Offset)
		advance(11 * time.Minute) // a snapshot was published
		b := start(t, log, "b", nil)
		advance(time.Second)
		require.Zero(t, b.Checkpoint())
		wrong := start(t, log, "wrong", nil)
		advance(time.Second)
		wrong.View(func(s *ledger.State) { s.Members["ghost"] = &ledger.Member{} })
		junk(9000)
		require.EqualValues(t, 16384, a.Checkpoint().Offset)
		require.Equal(t, a.Checkpoint(), b.Checkpoint())
		require.Equal(t, a.Checkpoint().Offset, wrong.Checkpoint().Offset)
		require.NotEqual(t, a.Checkpoint().Digest, wrong.Checkpoint().Digest)
	})
}
