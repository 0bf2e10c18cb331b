package operatorcmd

import (
	"context"
	"encoding/json"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/platform"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// Flags of history.
const (
	flagLast = "last"
	flagKind = "kind"
)

const defaultHistoryCount = 50

// appliedEntry is one entry of the log, with its record and the record's outcome.
type appliedEntry struct {
	Entry   platform.Entry
	Record  record.Record // zero if the entry is malformed
	Outcome ledger.Outcome
}

// historyLine is one record in the output of history.
type historyLine struct {
	Offset  uint64          `json:"offset"`
	Time    time.Time       `json:"time"`
	Author  string          `json:"author"`
	Subject string          `json:"subject"`
	Kind    record.Kind     `json:"kind"`
	Status  ledger.Status   `json:"status"`
	Reason  string          `json:"reason,omitempty"`
	BasedOn record.Revision `json:"based_on"`
	ID      string          `json:"id"`
	Body    json.RawMessage `json:"body,omitempty"`
}

func historyCommand() *cli.Command {
	return &cli.Command{
		Name:      "history",
		Usage:     "list the records on the log with their outcomes",
		ArgsUsage: "[SUBJECT]",
		Description: `SUBJECT is kind/name, such as service/booking or vm/vm-17, or a name of any kind.

Examples:
   yuccadrift history
   yuccadrift history service/booking
   yuccadrift history --kind vm.drain --last 10 --output json`,
		Flags: []cli.Flag{
			&cli.IntFlag{Name: flagLast, Usage: "the latest `N` records; 0 for all that the log retains", Value: defaultHistoryCount},
			&cli.StringFlag{Name: flagKind, Usage: "only records of this `KIND`"},
		},
		Action: showHistory,
	}
}

func showHistory(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() > 1 {
		return exitErrorf(ExitUsage, "history takes one subject at most")
	}
	s, err := openSession(ctx, cmd)
	if err != nil {
		return err
	}
	defer s.Close()
	lines := []historyLine{}
	from, err := s.applyLog(ctx, func(st appliedEntry) {
		if matchesFilter(st.Outcome, cmd.Args().First(), cmd.String(flagKind)) {
			lines = append(lines, newHistoryLine(st))
		}
	})
	if err != nil {
		return err
	}
	if from > 0 {
		fmt.Fprintf(cmd.Root().ErrWriter, "yuccadrift: the log's beginning is no longer retained; records are listed from the snapshot at offset %d on\n", from)
	}
	if last := cmd.Int(flagLast); last > 0 && len(lines) > last {
		lines = lines[len(lines)-last:]
	}
	return printResult(cmd.Root().Writer, s.format, lines, historyTable(lines))
}

func matchesFilter(out ledger.Outcome, subject, kind string) bool {
	if kind != "" && string(out.Kind) != kind {
		return false
	}
	return subject == "" || subject == out.Subject.String() || subject == out.Subject.Name
}

func newHistoryLine(st appliedEntry) historyLine {
	line := historyLine{
		Offset:  st.Outcome.Offset,
		Time:    st.Record.Time,
		Author:  st.Record.Author,
		Kind:    st.Outcome.Kind,
		Status:  st.Outcome.Status,
		Reason:  st.Outcome.Reason,
		BasedOn: st.Record.Base,
		ID:      st.Outcome.ID,
	}
	if st.Record.Body != nil {
		line.Subject = st.Outcome.Subject.String()
		line.Body, _ = json.Marshal(st.Record.Body) // cannot fail: it was decoded from JSON
	}
	return line
}

func historyTable(lines []historyLine) *table {
	t := &table{title: "history", header: []string{"OFFSET", "TIME", "AUTHOR", "SUBJECT", "KIND", "OUTCOME", "BASED ON", "DETAILS"}}
	for _, l := range lines {
		details := summarizeBody(l)
		if l.Reason != "" {
			details = l.Reason
		}
		t.add(fmt.Sprint(l.Offset), formatTime(l.Time), orDash(l.Author), orDash(l.Subject), orDash(string(l.Kind)), string(l.Status), fmt.Sprint(l.BasedOn), orDash(details))
	}
	return t
}

// durationField matches the durations in a record's body, which are nanoseconds
// in JSON.
var durationField = regexp.MustCompile(`"(?:estimate|run_time)":\d+`)

// maxSummaryBytes bounds the text of a body in a table. JSON output has all of it.
const maxSummaryBytes = 80

func summarizeBody(l historyLine) string {
	if l.Kind == record.KindDocumentPublish {
		return "the document"
	}
	text := durationField.ReplaceAllStringFunc(string(l.Body), func(field string) string {
		key, value, _ := strings.Cut(field, ":")
		ns, _ := strconv.ParseInt(value, 10, 64) // out of range: the largest duration
		return key + ":" + time.Duration(ns).String()
	})
	text = strings.NewReplacer(`"`, "", "{", "", "}", "").Replace(text)
	if len(text) > maxSummaryBytes {
		text = text[:maxSummaryBytes] + "..."
	}
	return text
}
