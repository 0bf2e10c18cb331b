package operatorcmd

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// Flags of publish.
const (
	flagBasedOn     = "based-on"
	flagRecordID    = "record-id"
	flagWaitInForce = "wait-in-force"
)

// publishStatus is the outcome of publishing one document.
type publishStatus string

const (
	publishAccepted  publishStatus = "accepted"
	publishUnchanged publishStatus = "unchanged"
	publishVoid      publishStatus = "void"
	publishRejected  publishStatus = "rejected"
	publishUnknown   publishStatus = "unknown"
)

// publishResult is one document in the output of publish.
type publishResult struct {
	File    string          `json:"file"`
	Service string          `json:"service"`
	Status  publishStatus   `json:"status"`
	BasedOn record.Revision `json:"based_on"`
	// Revision is the revision in force after the publish: the accepted one, or
	// the one that took effect first.
	Revision record.Revision `json:"revision"`
	RecordID string          `json:"record_id,omitempty"`
	Reason   string          `json:"reason,omitempty"`
	// InForce is the time from the append until each node had the document in force.
	InForce []nodeInForce `json:"in_force,omitempty"`

	sentAt time.Time
}

func publishCommand() *cli.Command {
	return &cli.Command{
		Name:      "publish",
		Usage:     "put documents in force and print the outcome of each",
		ArgsUsage: "FILE...",
		Description: `Validates all files first and publishes none if one has a mistake. A document
that is identical to the one in force is not published again. Without --based-on,
the change is based on the revision in force. Give the revision that you edited
to be warned if another change was made in the meantime.

Examples:
   yuccadrift publish services/booking.toml
   yuccadrift publish --based-on 42 services/booking.toml
   yuccadrift --nodes 10.0.0.1:7400,10.0.0.2:7400 publish --wait-in-force services/*.toml

After "unknown", run the printed command: it sends the same record again, and a
record takes effect only once, however often it is sent.`,
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: flagBasedOn, Usage: "the `REVISION` that the change is based on"},
			&cli.StringFlag{Name: flagRecordID, Usage: "send the record `ID` of an earlier attempt again; needs --based-on"},
			&cli.BoolFlag{Name: flagWaitInForce, Usage: "wait until every node has the document in force and print the times"},
		},
		Action: publish,
	}
}

func publish(ctx context.Context, cmd *cli.Command) error {
	if cmd.IsSet(flagRecordID) && !cmd.IsSet(flagBasedOn) {
		return exitErrorf(ExitUsage, "--%s needs --%s, as the earlier attempt printed them", flagRecordID, flagBasedOn)
	}
	documents, err := readDocuments(cmd.Args().Slice())
	if err != nil {
		return err
	}
	if len(documents) > 1 && cmd.IsSet(flagBasedOn) {
		return exitErrorf(ExitUsage, "--%s applies to one document; give one file", flagBasedOn)
	}
	for _, doc := range documents {
		if len(doc.problems) > 0 {
			return printCheckResults(cmd, outputFormat(cmd), documents)
		}
	}
	s, err := openSession(ctx, cmd)
	if err != nil {
		return err
	}
	defer s.Close()
	return s.publishAll(ctx, cmd, documents)
}

// outputFormat returns the output format, without reading the settings.
func outputFormat(cmd *cli.Command) format { return format(cmd.String(flagOutput)) }

func (s *session) publishAll(ctx context.Context, cmd *cli.Command, documents []documentFile) error {
	var results []publishResult
	var worst error
	for _, doc := range documents {
		rec := s.newRecord(record.Subject{Kind: record.SubjectService, Name: doc.parsed.Service}, record.DocumentPublish{Text: doc.text})
		if cmd.IsSet(flagBasedOn) {
			rec.Base = record.Revision(cmd.Uint64(flagBasedOn))
		}
		if cmd.IsSet(flagRecordID) {
			rec.ID = cmd.String(flagRecordID)
		}
		r, err := s.publishDocument(ctx, doc, rec)
		if cmd.Bool(flagWaitInForce) && r.isInForce() {
			var waitErr error
			r.InForce, waitErr = s.awaitInForce(ctx, r.Service, r.Revision, r.sentAt)
			err = worseError(err, waitErr)
		}
		results = append(results, r)
		worst = worseError(worst, err)
	}
	if err := printResult(cmd.Root().Writer, s.format, results, publishTable(results), inForceTable(results)); err != nil {
		return err
	}
	return worst
}

func (r publishResult) isInForce() bool {
	return r.Status == publishAccepted || r.Status == publishUnchanged
}

// publishDocument proposes one document and returns its outcome.
func (s *session) publishDocument(ctx context.Context, doc documentFile, rec record.Record) (publishResult, error) {
	r := publishResult{File: doc.file, Service: doc.parsed.Service, BasedOn: rec.Base, RecordID: rec.ID, sentAt: time.Now()}
	if text, head, ok := s.documentInForce(doc.parsed.Service); ok && text == doc.text {
		r.Status, r.Revision = publishUnchanged, head.Revision
		if head.LastID == rec.ID {
			r.Status = publishAccepted
		}
		return r, nil
	}
	out, err := s.propose(ctx, rec)
	r.Revision = out.Current
	switch exitCode(err) {
	case ExitOK:
		r.Status = publishAccepted
	case ExitConflict:
		r.Status = publishVoid
		r.Reason = fmt.Sprintf("revision %d came first: %s", out.Current, out.Reason)
		err = exitErrorf(ExitConflict, "%s: void because revision %d came first", doc.file, out.Current)
	case ExitUnknown:
		r.Status = publishUnknown
		r.Reason = fmt.Sprintf("repeat with: publish --%s %d --%s %s %s", flagBasedOn, rec.Base, flagRecordID, rec.ID, doc.file)
		err = exitErrorf(ExitUnknown, "%s: %v", doc.file, err)
	default:
		r.Status, r.Reason = publishRejected, out.Reason
		err = exitErrorf(ExitRejected, "%s: %v", doc.file, err)
	}
	return r, err
}

// documentInForce returns a service's document in force. ok is false if the
// service has none.
func (s *session) documentInForce(service string) (text string, head ledger.Head, ok bool) {
	s.follower.View(func(state *ledger.State) {
		svc, found := state.Services[service]
		if found {
			text, head, ok = svc.Text, svc.Head, true
		}
	})
	return text, head, ok
}

func publishTable(results []publishResult) *table {
	t := &table{title: "published", header: []string{"FILE", "SERVICE", "OUTCOME", "BASED ON"}}
	for _, r := range results {
		t.add(r.File, r.Service, r.outcome(), fmt.Sprint(r.BasedOn))
	}
	return t
}

func (r publishResult) outcome() string {
	switch r.Status {
	case publishAccepted:
		return fmt.Sprintf("accepted at offset %d", r.Revision)
	case publishUnchanged:
		return fmt.Sprintf("unchanged, in force since offset %d", r.Revision)
	}
	return fmt.Sprintf("%s: %s", r.Status, r.Reason)
}
