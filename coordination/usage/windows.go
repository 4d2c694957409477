package usage

import "time"

// maxDrift is how far the time of day may leave the steady clock between two looks and still
// be followed. Beyond that it has been set.
const maxDrift = 100 * time.Millisecond

// Windows tells the windows of true time by a steady clock that was once compared with the
// time of day. Set Length before the first call. It is not safe for concurrent use.
type Windows struct {
	Length time.Duration

	// offset leads from the steady clock to the time of day.
	offset   time.Duration
	anchored bool
}

// Now returns the true time, given what the steady clock and the time of day say. It
// follows a time of day that drifts and no step of it.
func (w *Windows) Now(steady, timeOfDay time.Time) time.Time {
	offset := timeOfDay.Round(0).Sub(steady)
	if !w.anchored || (offset-w.offset).Abs() <= maxDrift {
		w.offset, w.anchored = offset, true
	}
	return steady.Add(w.offset)
}

// At returns the window of a time.
func (w *Windows) At(now time.Time) Window { return Window(now.UnixNano() / int64(w.Length)) }

// End returns when a window ends.
func (w *Windows) End(of Window) time.Time { return time.Unix(0, int64(of+1)*int64(w.Length)) }
