package dayreport

import (
	"bytes"
	_ "embed" // for page.html
	"html/template"
	"image/color"
	"io"
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a plot.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
)

// maxPlotted is the longest time that is plotted. A plot has one point per second, so a single
// line with a wrong time would otherwise use up all memory.
const maxPlotted = 24 * time.Hour

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"clock": func(t time.Time) string { return t.UTC().Format("15:04:05") },
	"round": func(d time.Duration) string { return d.Round(time.Millisecond).String() },
}).Parse(pageText))

// pageData is the data of the page template.
type pageData struct {
	Report
	Plots []template.HTML
}

// WritePage writes the report as one self-contained HTML page.
func WritePage(w io.Writer, r Report) error {
	plots, err := renderPlots(r)
	if err != nil {
		return err
	}
	return errors.Wrap(page.Execute(w, pageData{Report: r, Plots: plots}), "page")
}

// renderPlots returns the plots as SVG, or none if the report covers more than maxPlotted.
func renderPlots(r Report) ([]template.HTML, error) {
	if r.To.Sub(r.From) > maxPlotted {
		return nil, nil
	}
	var all []template.HTML
	for _, draw := range []func(Report) (*plot.Plot, error){callsPlot, waitPlot} {
		p, err := draw(r)
		if err != nil {
			return nil, errors.Wrap(err, "plot")
		}
		svg, err := renderSVG(p)
		if err != nil {
			return nil, err
		}
		all = append(all, svg)
	}
	return all, nil
}

// renderSVG returns a plot as an SVG element. It is safe to embed unescaped: the text in a plot
// consists of constants of this package and numbers.
func renderSVG(p *plot.Plot) (template.HTML, error) {
	to, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", errors.Wrap(err, "plot")
	}
	var out bytes.Buffer
	if _, err := to.WriteTo(&out); err != nil {
		return "", errors.Wrap(err, "plot")
	}
	_, svg, _ := bytes.Cut(out.Bytes(), []byte("<svg")) // drops the XML declaration, which HTML doesn't allow
	return template.HTML("<svg" + string(svg)), nil     //nolint:gosec // see above
}

// callsPlot plots accepted and completed jobs and refused calls per second.
func callsPlot(r Report) (*plot.Plot, error) {
	p := newPlot("jobs per second")
	err := plotutil.AddLines(p,
		"taken", pointsPerSecond(r, func(s Second) float64 { return float64(s.Accepted) }),
		"completed", pointsPerSecond(r, func(s Second) float64 { return float64(s.Ended) }),
		"calls refused", pointsPerSecond(r, func(s Second) float64 { return float64(s.Refused) }))
	return p, err
}

// waitPlot plots how long jobs waited for their first start, and the takeovers of partitions.
func waitPlot(r Report) (*plot.Plot, error) {
	p := newPlot("wait for the first start, 95th percentile, s")
	wait := pointsPerSecond(r, func(s Second) float64 { return s.WaitMS / 1000 })
	if err := plotutil.AddLines(p, "wait", wait); err != nil {
		return nil, err
	}
	if len(r.Takeovers) == 0 {
		return p, nil
	}
	var gaps plotter.XYs
	for _, t := range r.Takeovers {
		gaps = append(gaps, plotter.XY{X: t.At.Sub(r.From).Seconds(), Y: t.Gap.Seconds()})
	}
	dots, err := plotter.NewScatter(gaps)
	if err != nil {
		return nil, err
	}
	dots.Color = color.RGBA{R: 200, A: 255}
	p.Add(dots)
	p.Legend.Add("partition without an owner", dots)
	return p, nil
}

func newPlot(title string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "seconds from the first line"
	p.Y.Min = 0
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	return p
}

// pointsPerSecond returns one point per second, 0 for seconds without events.
func pointsPerSecond(r Report, value func(Second) float64) plotter.XYs {
	first := r.From.Truncate(time.Second)
	all := make(plotter.XYs, int(r.To.Sub(first).Seconds())+1)
	for i := range all {
		all[i].X = float64(i)
	}
	for _, s := range r.Seconds {
		all[int(s.At.Sub(first).Seconds())].Y = value(s)
	}
	return all
}
