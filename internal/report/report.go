// Package report renders the results of load runs as a self-contained HTML page with plots.
package report

import (
	"bytes"
	_ "embed" // for the page template
	"html/template"
	"io"
	"sort"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"skylarkstall/internal/fault"
	"skylarkstall/internal/load"
)

//go:embed report.html
var pageTemplate string

const (
	width  = 6.5 * vg.Inch
	height = 3 * vg.Inch
)

type row struct {
	Label string
	Name  string
	*load.KindResult
}

type content struct {
	Results []*load.Result
	Rows    []row
	Plots   []template.HTML
}

// Write writes a page that compares the results. It fails with Invalid if there are no results.
func Write(w io.Writer, results []*load.Result) error {
	if len(results) == 0 {
		return fault.New(fault.Invalid, "no results to report")
	}
	parsed, err := template.New("report").Parse(pageTemplate)
	if err != nil {
		return fault.WrapAs(fault.Internal, err, "parse template of the report page")
	}
	c := content{Results: results}
	for _, name := range kindNames(results) {
		for _, r := range results {
			if k, ok := r.Kinds[name]; ok {
				c.Rows = append(c.Rows, row{r.Label, name, k})
			}
		}
		if c.Plots, err = appendPlot(c.Plots, "Wait of "+name, "wait (ms)", "share of requests", waitCurves(results, name)); err != nil {
			return err
		}
	}
	for _, series := range sampleSeries {
		lines := map[string]plotter.XYs{}
		for _, r := range results {
			lines[r.Label] = timeSeries(r, series.value)
		}
		if c.Plots, err = appendPlot(c.Plots, series.title, "time (s)", series.unit, lines); err != nil {
			return err
		}
	}
	return fault.Wrap(parsed.Execute(w, c), "write report page")
}

var sampleSeries = []struct {
	title, unit string
	value       func(load.Sample) float64
}{
	{"Reserved slots", "share", func(s load.Sample) float64 { return s.Reserved }},
	{"Queued tasks", "tasks", func(s load.Sample) float64 { return float64(s.Queued) }},
}

func kindNames(results []*load.Result) []string {
	seen := map[string]bool{}
	var names []string
	for _, r := range results {
		for name := range r.Kinds {
			if !seen[name] {
				seen[name] = true
				names = append(names, name)
			}
		}
	}
	sort.Strings(names)
	return names
}

func waitCurves(results []*load.Result, kind string) map[string]plotter.XYs {
	lines := map[string]plotter.XYs{}
	for _, r := range results {
		k, ok := r.Kinds[kind]
		if !ok {
			continue
		}
		points := make(plotter.XYs, len(k.WaitCurve))
		for i, p := range k.WaitCurve {
			points[i] = plotter.XY{X: p.MS, Y: p.Share}
		}
		lines[r.Label] = points
	}
	return lines
}

func timeSeries(r *load.Result, value func(load.Sample) float64) plotter.XYs {
	points := make(plotter.XYs, len(r.Samples))
	for i, s := range r.Samples {
		points[i] = plotter.XY{X: s.At, Y: value(s)}
	}
	return points
}

func appendPlot(
	plots []template.HTML, title, x, y string, lines map[string]plotter.XYs,
) ([]template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	labels := make([]string, 0, len(lines))
	for label := range lines {
		labels = append(labels, label)
	}
	sort.Strings(labels)
	for i, label := range labels {
		line, err := plotter.NewLine(lines[label])
		if err != nil {
			return nil, fault.WrapAs(fault.Invalid, err, "plot of "+label)
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(label, line)
	}
	writer, err := p.WriterTo(width, height, "svg")
	if err != nil {
		return nil, fault.WrapAs(fault.Internal, err, "render plot")
	}
	var svg bytes.Buffer
	if _, err := writer.WriteTo(&svg); err != nil {
		return nil, fault.WrapAs(fault.Internal, err, "render plot")
	}
	body := svg.Bytes()[max(0, bytes.Index(svg.Bytes(), []byte("<svg"))):]
	return append(plots, template.HTML(body)), nil // the plot library escapes labels
}
