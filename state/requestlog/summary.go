package requestlog

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Summary counts ended requests by cause and by time window.
type Summary struct {
	// Start is the start of the first window.
	Start  time.Time     `json:"start"`
	Window time.Duration `json:"window"`
	// Counts has one count for each window, by cause.
	Counts map[string][]int `json:"counts"`
}

const answered = "answered"

// Summarize counts the requests whose end is among events, in windows of the
// given length.
func Summarize(events []Event, window time.Duration) Summary {
	s := Summary{Window: window, Counts: map[string][]int{}}
	ends := slices.DeleteFunc(slices.Clone(events), func(e Event) bool { return e.endCause() == "" })
	if len(ends) == 0 {
		return s
	}
	slices.SortStableFunc(ends, func(a, b Event) int { return a.Time.Compare(b.Time) })
	s.Start = ends[0].Time.Truncate(window)
	windows := int(ends[len(ends)-1].Time.Sub(s.Start)/window) + 1
	for _, e := range ends {
		cause := e.endCause()
		if s.Counts[cause] == nil {
			s.Counts[cause] = make([]int, windows)
		}
		s.Counts[cause][e.Time.Sub(s.Start)/window]++
	}
	return s
}

// endCause returns the cause under which Summarize counts the end of a request;
// empty if the line does not end one.
func (e Event) endCause() string {
	switch {
	case e.Message == answered && e.Status < 400:
		return answered
	case e.Message == answered:
		return fmt.Sprintf("upstream_%d", e.Status)
	case e.Message == "ended":
		return e.Reason
	}
	return ""
}

// causes returns the causes, most frequent first.
func (s Summary) causes() []string {
	names := slices.Collect(maps.Keys(s.Counts))
	slices.SortFunc(names, func(a, b string) int {
		if byCount := total(s.Counts[b]) - total(s.Counts[a]); byCount != 0 {
			return byCount
		}
		return strings.Compare(a, b)
	})
	return names
}

func total(counts []int) int {
	sum := 0
	for _, n := range counts {
		sum += n
	}
	return sum
}

// WriteTable writes a table with one row for each window and one column for each
// cause, and a row of totals.
func (s Summary) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	causes := s.causes()
	fmt.Fprintf(table, "from\t%s\t\n", strings.Join(causes, "\t"))
	for i := range s.windows() {
		fmt.Fprintf(table, "%s\t", s.Start.Add(time.Duration(i)*s.Window).Format("15:04:05"))
		for _, c := range causes {
			fmt.Fprintf(table, "%d\t", s.Counts[c][i])
		}
		fmt.Fprintln(table)
	}
	fmt.Fprint(table, "all\t")
	for _, c := range causes {
		fmt.Fprintf(table, "%d\t", total(s.Counts[c]))
	}
	fmt.Fprintln(table)
	return table.Flush()
}

func (s Summary) windows() int {
	for _, counts := range s.Counts {
		return len(counts)
	}
	return 0
}

const (
	plotWidth, plotHeight = 800, 300
	plotMargin            = 40
	legendLineHeight      = 14
)

// plotColors are the line colors of the causes, most frequent first.
var plotColors = []string{"#2a7", "#c33", "#e90", "#36c", "#93c", "#0aa", "#964", "#777"}

// WriteSVG writes a plot of the counts over time, with one line for each cause.
func (s Summary) WriteSVG(w io.Writer) error {
	maxCount := 1
	for _, counts := range s.Counts {
		maxCount = max(maxCount, slices.Max(counts))
	}
	_, err := fmt.Fprintf(w, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">`+"\n",
		plotWidth, plotHeight)
	if err != nil {
		return err
	}
	for i, cause := range s.causes() {
		color := plotColors[i%len(plotColors)]
		var points []string
		for window, n := range s.Counts[cause] {
			x := plotMargin + (plotWidth-2*plotMargin)*window/max(s.windows()-1, 1)
			y := plotHeight - plotMargin - (plotHeight-2*plotMargin)*n/maxCount
			points = append(points, fmt.Sprintf("%d,%d", x, y))
		}
		fmt.Fprintf(w, `<polyline fill="none" stroke="%s" points="%s"/>`+"\n", color, strings.Join(points, " "))
		fmt.Fprintf(w, `<text x="%d" y="%d" fill="%s">%s (%d)</text>`+"\n",
			plotMargin, legendLineHeight*(i+1), color, cause, total(s.Counts[cause]))
	}
	_, err = fmt.Fprintf(w, `<text x="%d" y="%d">%s, windows of %s, at most %d</text>`+"\n</svg>\n",
		plotMargin, plotHeight-legendLineHeight, s.Start.Format(time.DateTime), s.Window, maxCount)
	return err
}
