package report

import (
	"errors"
	"io"
	"strconv"
	"strings"

	"github.com/wcharczuk/go-chart/v2"
)

// ErrNothingToPlot reports data with fewer than two points in time.
var ErrNothingToPlot = errors.New("plot needs at least two points in time")

// The size of a plot, in pixels.
const (
	plotWidth  = 1100
	plotHeight = 420
)

// Series is one line of a plot over time. Values has one value for each point in time.
type Series struct {
	Name   string
	Values []float64
}

// Plot writes a line chart over time as SVG. counted is the label of the vertical axis, and seconds are the points in
// time. All series must have as many values as seconds. Fewer than two points are an ErrNothingToPlot.
func Plot(w io.Writer, title, counted string, seconds []float64, series []Series) error {
	if len(seconds) < 2 {
		return ErrNothingToPlot
	}
	graph := chart.Chart{
		Title: title, Width: plotWidth, Height: plotHeight,
		Background: chart.Style{Padding: chart.Box{Top: 40, Left: 20, Right: 20, Bottom: 10}},
		XAxis:      chart.XAxis{Name: "second"}, YAxis: chart.YAxis{Name: counted},
	}
	for _, line := range series {
		graph.Series = append(graph.Series, chart.ContinuousSeries{Name: line.Name, XValues: seconds, YValues: line.Values})
	}
	graph.Elements = []chart.Renderable{chart.LegendThin(&graph)}
	return graph.Render(chart.SVG, w)
}

// PlotLosses writes the numbers of callers by result over time as SVG. The losses must be grouped BySecond.
func PlotLosses(w io.Writer, losses []Losses) error {
	seconds := make([]float64, 0, len(losses))
	lines := []Series{{Name: "asked"}, {Name: "in time"}, {Name: "late"}, {Name: "refused at once"}, {Name: "refused after waiting"}, {Name: "cut or failed"}}
	for i := range losses {
		group := &losses[i]
		second, err := strconv.Atoi(strings.TrimSpace(group.Group))
		if err != nil {
			return err
		}
		seconds = append(seconds, float64(second))
		total := func(causes ...Cause) int { return sum(group.New, causes...) + sum(group.Retries, causes...) }
		for line, n := range []int{
			group.Callers(), group.InTime(), group.Late(), total(CauseRefusedAtOnce, CauseNoServer, CauseRefusedOther),
			total(CauseRefusedAfterWait), total(CauseTruncated, CauseTruncatedTwice, CauseFailed),
		} {
			lines[line].Values = append(lines[line].Values, float64(n))
		}
	}
	return Plot(w, "callers by the second in which they came", "a second", seconds, lines)
}
