package dayreport

import (
	"bytes"
	_ "embed" // the page
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

// maxPlotted is the longest time that is plotted, second by second.
const maxPlotted = 24 * time.Hour

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"clock": func(t time.Time) string { return t.UTC().Format("15:04:05") },
	"round": func(d time.Duration) string { return d.Round(time.Millisecond).String() },
}).Parse(pageText))

// pageData is what the page is made of.
type pageData struct {
	Report
	Plots []template.HTML
}

// WritePage writes a report as one HTML page that needs nothing else.
func WritePage(w io.Writer, r Report) error {
	plots, err := renderPlots(r)
	if err != nil {
		return err
	}
	return errors.Wrap(page.Execute(w, pageData{Report: r, Plots: plots}), "page")
}

// renderPlots draws the plots, none where the lines lie too far apart.
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

// renderSVG draws a plot. The text of a plot is this package's own, and numbers.
func renderSVG(p *plot.Plot) (template.HTML, error) {
	to, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", errors.Wrap(err, "plot")
	}
	var out bytes.Buffer
	if _, err := to.WriteTo(&out); err != nil {
		return "", errors.Wrap(err, "plot")
	}
	_, svg, _ := bytes.Cut(out.Bytes(), []byte("<svg")) // without the declaration, which stands in no page
	return template.HTML("<svg" + string(svg)), nil     //nolint:gosec // see above
}

// callsPlot shows what became of calls.
func callsPlot(r Report) (*plot.Plot, error) {
	p := newPlot("jobs a second")
	err := plotutil.AddLines(p,
		"taken", points(r, func(s Second) float64 { return float64(s.Accepted) }),
		"completed", points(r, func(s Second) float64 { return float64(s.Ended) }),
		"calls refused", points(r, func(s Second) float64 { return float64(s.Refused) }))
	return p, err
}

// waitPlot shows how long jobs waited, and the changes of owners.
func waitPlot(r Report) (*plot.Plot, error) {
	p := newPlot("wait for the first start, 95th percentile, s")
	wait := points(r, func(s Second) float64 { return s.WaitMS / 1000 })
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

// points are a value of each second, 0 where nothing happened.
func points(r Report, value func(Second) float64) plotter.XYs {
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
