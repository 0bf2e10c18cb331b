package operatorcmd

import (
	"context"
	"io"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/yuccadrift/yuccadrift/internal/logstory"
)

func storyCommand() *cli.Command {
	return &cli.Command{
		Name:      "story",
		Usage:     "show from the nodes' logs what happened to a job, task, VM or worker",
		ArgsUsage: "ID [FILE...]",
		Description: `Reads the log lines of all nodes from files, or from standard input if no file is
given, and prints the lines about ID in time order. Needs no platform.

Example:
   yuccadrift story 5c0e7a21d94b36f8 logs/*.log`,
		Action: printStory,
	}
}

func printStory(_ context.Context, cmd *cli.Command) error {
	id := cmd.Args().First()
	if id == "" {
		return errors.New("story needs the ID of a job, task, VM or worker")
	}
	lines, err := readLogs(id, cmd.Args().Tail(), cmd.Root().Reader)
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return errors.Errorf("no log line mentions %s", id)
	}
	return logstory.Write(cmd.Root().Writer, lines)
}

func readLogs(id string, files []string, input io.Reader) ([]logstory.Line, error) {
	if len(files) == 0 {
		return logstory.Read(input, id)
	}
	var all []logstory.Line
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, errors.Wrap(err, "log")
		}
		lines, err := logstory.Read(file, id)
		file.Close()
		if err != nil {
			return nil, errors.Wrap(err, name)
		}
		all = append(all, lines...)
	}
	return all, nil
}
