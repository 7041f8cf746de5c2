package experiment

import (
	"bytes"
	"context"
	"fmt"
	"html/template"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of the plots.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// Section is the part of a report about one experiment. Err is the text of the
// error that ended the experiment, or empty.
type Section struct {
	Name, Question string
	Rows           []Row
	SVG            []template.HTML
	Err            string
}

// Report holds the results of the experiments of one call of Run.
type Report struct {
	Seed     uint64
	Revision string
	Machine  string
	Begin    time.Time
	Sections []Section
}

// Run runs the named experiments, or all if names is empty, and writes report.html
// and report.md into folder. An experiment that fails is noted in its section; Run
// returns an error for an unknown name or if it cannot write the report.
func Run(ctx context.Context, env *Env, names []string, folder string) (*Report, error) {
	if len(names) == 0 {
		names = experimentNames()
	}
	r := &Report{Seed: env.Seed, Revision: codeRevision(ctx), Begin: time.Now(),
		Machine: fmt.Sprintf("%s/%s, %d cores, %s", runtime.GOOS, runtime.GOARCH, runtime.NumCPU(), runtime.Version())}
	for _, name := range names {
		e, err := findExperiment(name)
		if err != nil {
			return nil, err
		}
		r.Sections = append(r.Sections, runSection(ctx, env, e))
	}
	return r, r.write(folder)
}

// findExperiment returns the experiment with the given name.
func findExperiment(name string) (Experiment, error) {
	for _, e := range All {
		if e.Name == name {
			return e, nil
		}
	}
	return Experiment{}, &Error{Op: "find", Kind: KindUnknown,
		Err: fmt.Errorf("found %q; allowed: %s", name, strings.Join(experimentNames(), ", "))}
}

// runSection runs an experiment and renders its plots.
func runSection(ctx context.Context, env *Env, e Experiment) Section {
	s := Section{Name: e.Name, Question: e.Question}
	res, err := e.Run(ctx, env)
	if err != nil {
		s.Err = err.Error()
		return s
	}
	s.Rows = res.Rows
	for _, p := range res.Plots {
		svg, err := p.svg()
		if err != nil {
			s.Err = err.Error()
			continue
		}
		s.SVG = append(s.SVG, svg)
	}
	return s
}

// Met reports whether all experiments finished and met their targets.
func (r *Report) Met() bool {
	for _, s := range r.Sections {
		if s.Err != "" {
			return false
		}
		for _, row := range s.Rows {
			if !row.Met {
				return false
			}
		}
	}
	return true
}

// codeRevision describes the Git revision of the working folder, or returns
// "unknown".
func codeRevision(ctx context.Context) string {
	out, err := exec.CommandContext(ctx, "git", "describe", "--always", "--dirty").Output()
	if err != nil {
		return "unknown"
	}
	return strings.TrimSpace(string(out))
}

// svg renders the plot as an SVG element without the XML header.
func (p Plot) svg() (template.HTML, error) {
	pl := plot.New()
	pl.Title.Text, pl.X.Label.Text, pl.Y.Label.Text = p.Title, p.X, p.Y
	pl.Y.Min = 0
	for i, l := range p.Lines {
		points := make(plotter.XYs, len(l.X))
		for j := range l.X {
			points[j] = plotter.XY{X: l.X[j], Y: l.Y[j]}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return "", &Error{Op: "plot", Kind: KindWrite, Err: err}
		}
		line.Color = plotutil.Color(i)
		pl.Add(line)
		pl.Legend.Add(l.Name, line)
	}
	w, err := pl.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", &Error{Op: "plot", Kind: KindWrite, Err: err}
	}
	var b bytes.Buffer
	if _, err := w.WriteTo(&b); err != nil {
		return "", &Error{Op: "plot", Kind: KindWrite, Err: err}
	}
	svg := b.String()
	return template.HTML(svg[strings.Index(svg, "<svg"):]), nil
}

var reportPage = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>cassiarack report</title>
<style>body{font-family:sans-serif;max-width:70em;margin:2em auto}table{border-collapse:collapse;width:100%}
td,th{border:1px solid #ccc;padding:.3em .6em;text-align:left}.missed{background:#fdd}.met{background:#dfd}</style></head><body>
<h1>cassiarack report</h1><p>Seed {{.Seed}}, revision {{.Revision}}, {{.Machine}}, {{.Begin.Format "2006-01-02 15:04"}}.</p>
{{range .Sections}}<h2>{{.Name}}</h2><p>{{.Question}}</p>{{if .Err}}<p class="missed">Did not finish: {{.Err}}</p>{{end}}
<table><tr><th>measure<th>target<th>figure<th>baseline<th>verdict</tr>
{{range .Rows}}<tr class="{{if .Met}}met{{else}}missed{{end}}"><td>{{.Measure}}<td>{{.Target}}<td>{{.Figure}}<td>{{.Baseline}}<td>{{if .Met}}met{{else}}missed{{end}}</tr>
{{end}}</table>{{range .SVG}}{{.}}{{end}}{{end}}</body></html>
`))

// Markdown renders the report as Markdown, without its plots.
func (r *Report) Markdown() string {
	var b strings.Builder
	fmt.Fprintf(&b, "Seed %d, revision %s, %s, %s.\n", r.Seed, r.Revision, r.Machine, r.Begin.Format("2006-01-02 15:04"))
	for _, s := range r.Sections {
		fmt.Fprintf(&b, "\n## %s\n\n%s\n\n", s.Name, s.Question)
		if s.Err != "" {
			fmt.Fprintf(&b, "Did not finish: %s\n\n", s.Err)
		}
		b.WriteString("| measure | target | figure | baseline | verdict |\n|---|---|---|---|---|\n")
		for _, row := range s.Rows {
			verdict := "missed"
			if row.Met {
				verdict = "met"
			}
			fmt.Fprintf(&b, "| %s | %s | %s | %s | %s |\n", row.Measure, row.Target, row.Figure, row.Baseline, verdict)
		}
	}
	return b.String()
}

// write writes report.html and report.md into folder.
func (r *Report) write(folder string) error {
	var b bytes.Buffer
	if err := reportPage.Execute(&b, r); err != nil {
		return &Error{Op: "render", Kind: KindWrite, Err: err}
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return &Error{Op: "make folder", Kind: KindWrite, Err: err}
	}
	for name, text := range map[string]string{"report.html": b.String(), "report.md": r.Markdown()} {
		if err := os.WriteFile(filepath.Join(folder, name), []byte(text), 0o644); err != nil {
			return &Error{Op: "write " + name, Kind: KindWrite, Err: err}
		}
	}
	return nil
}
