package operatorcmd

import (
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/yuccadrift/yuccadrift/internal/settings"
	"github.com/yuccadrift/yuccadrift/internal/tomlfile"
)

const (
	defaultTimeout = 10 * time.Second
	defaultAuthor  = "operator"
)

// fileSettings is the content of the command line's settings file.
type fileSettings struct {
	Platform       tomlfile.Address   `toml:"platform"`
	Stream         string             `toml:"stream"`
	SnapshotStream string             `toml:"snapshot_stream"`
	Nodes          []tomlfile.Address `toml:"nodes"`
	Timeout        tomlfile.Duration  `toml:"timeout"`
	Author         string             `toml:"author"`
}

// options are the settings of one command: those of the settings file,
// overridden by flags.
type options struct {
	platform       string // IP:port
	stream         string
	snapshotStream string
	nodes          []string // IP:port
	timeout        time.Duration
	format         format
	author         string
}

func loadOptions(cmd *cli.Command) (options, error) {
	file, err := loadFile(cmd.String(flagConfig))
	if err != nil {
		return options{}, err
	}
	o := options{
		stream:         file.Stream,
		snapshotStream: file.SnapshotStream,
		timeout:        file.Timeout.Duration,
		format:         format(cmd.String(flagOutput)),
		author:         file.Author,
	}
	if file.Platform.IsValid() {
		o.platform = file.Platform.String()
	}
	for _, node := range file.Nodes {
		o.nodes = append(o.nodes, node.String())
	}
	o.applyFlags(cmd)
	return o, o.validate()
}

func loadFile(path string) (fileSettings, error) {
	defaults := fileSettings{
		Stream:         settings.DefaultStream,
		SnapshotStream: settings.DefaultSnapshotStream,
		Timeout:        tomlfile.Duration{Duration: defaultTimeout},
		Author:         defaultAuthor,
	}
	if path == "" {
		return defaults, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return defaults, exitErrorf(ExitUsage, "cannot read the settings: %v", err)
	}
	file, _, problems := tomlfile.DecodeWithDefaults(path, text, defaults)
	if len(problems) > 0 {
		return defaults, exitErrorf(ExitUsage, "%v", problems)
	}
	return file, nil
}

func (o *options) applyFlags(cmd *cli.Command) {
	if cmd.IsSet(flagPlatform) {
		o.platform = cmd.String(flagPlatform)
	}
	if cmd.IsSet(flagNodes) {
		o.nodes = cmd.StringSlice(flagNodes)
	}
	if cmd.IsSet(flagTimeout) {
		o.timeout = cmd.Duration(flagTimeout)
	}
	if cmd.IsSet(flagAuthor) {
		o.author = cmd.String(flagAuthor)
	}
}

func (o *options) validate() error {
	if !o.format.valid() {
		return exitErrorf(ExitUsage, "unknown --output %q, expected table, json or csv", o.format)
	}
	if o.timeout <= 0 {
		return exitErrorf(ExitUsage, "--timeout %s must be positive", o.timeout)
	}
	for _, addr := range append([]string{o.platform}, o.nodes...) {
		if addr == "" {
			continue
		}
		if _, err := tomlfile.ParseAddress(addr); err != nil {
			return exitErrorf(ExitUsage, "%v", err)
		}
	}
	return nil
}
