package operatorcmd

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/yuccadrift/yuccadrift/internal/document"
)

// documentFile is one document file with its problems.
type documentFile struct {
	file     string
	text     string
	parsed   document.Document
	problems []document.Problem
}

// checkResult is one file in the output of check.
type checkResult struct {
	File     string   `json:"file"`
	Service  string   `json:"service,omitempty"`
	Problems []string `json:"problems"`
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "validate documents and report every mistake with its line",
		ArgsUsage: "FILE...",
		Description: `Needs no platform. Examples:
   yuccadrift check services/booking.toml
   yuccadrift check --output json services/*.toml`,
		Action: func(_ context.Context, cmd *cli.Command) error {
			o, err := loadOptions(cmd)
			if err != nil {
				return err
			}
			documents, err := readDocuments(cmd.Args().Slice())
			if err != nil {
				return err
			}
			return printCheckResults(cmd, o.format, documents)
		},
	}
}

// readDocuments reads and validates files. An error is a usage error; mistakes in
// documents are in the problems of each file.
func readDocuments(files []string) ([]documentFile, error) {
	if len(files) == 0 {
		return nil, exitErrorf(ExitUsage, "which document? give one or more files")
	}
	var documents []documentFile
	byService := map[string]string{}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, exitErrorf(ExitUsage, "cannot read the document: %v", err)
		}
		doc := documentFile{file: file, text: string(text)}
		doc.parsed, doc.problems = document.Parse(file, text)
		name := doc.parsed.Service
		if other, ok := byService[name]; ok && name != "" {
			doc.problems = append(doc.problems, document.Problem{File: file, Line: 1, Key: "service", Wrong: name + " is described by " + other + " too"})
		}
		byService[name] = file
		documents = append(documents, doc)
	}
	return documents, nil
}

func printCheckResults(cmd *cli.Command, f format, documents []documentFile) error {
	var results []checkResult
	t := &table{title: "documents", header: []string{"FILE", "SERVICE", "VERDICT"}}
	invalid := 0
	for _, doc := range documents {
		r := checkResult{File: doc.file, Service: doc.parsed.Service, Problems: []string{}}
		for _, p := range doc.problems {
			r.Problems = append(r.Problems, p.String())
			t.add(doc.file, orDash(doc.parsed.Service), p.String())
		}
		if len(doc.problems) == 0 {
			t.add(doc.file, doc.parsed.Service, "good")
		} else {
			invalid++
		}
		results = append(results, r)
	}
	if err := printResult(cmd.Root().Writer, f, results, t); err != nil {
		return err
	}
	if invalid > 0 {
		return exitErrorf(ExitRejected, "%d of %d documents have mistakes", invalid, len(documents))
	}
	return nil
}
