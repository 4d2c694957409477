package exchange

import (
	"samphirehead/coordination/usage"
	"samphirehead/state/id"
)

// UsageCountsOf converts the counts of processes to a message.
func UsageCountsOf(processes []usage.ProcessCounts) *UsageCounts {
	message := &UsageCounts{}
	for _, p := range processes {
		one := &InstanceCounts{Instance: string(p.Instance), Incarnation: uint64(p.Incarnation)}
		for w, counts := range p.Windows {
			one.Windows = append(one.Windows, windowCountsOf(w, counts))
		}
		message.Instances = append(message.Instances, one)
	}
	return message
}

func windowCountsOf(w usage.Window, counts usage.Counts) *WindowCounts {
	window := &WindowCounts{Window: int64(w), Counts: make(map[string]uint64, len(counts))}
	for workspace, n := range counts {
		window.Counts[string(workspace)] = n
	}
	return window
}

func (x *WindowCounts) asCounts() usage.Counts {
	counts := make(usage.Counts, len(x.Counts))
	for workspace, n := range x.Counts {
		counts[id.Workspace(workspace)] = n
	}
	return counts
}

// AsProcessCounts converts a message.
func (x *UsageCounts) AsProcessCounts() []usage.ProcessCounts {
	var out []usage.ProcessCounts
	for _, one := range x.Instances {
		p := usage.ProcessCounts{
			Process: usage.Process{Instance: id.Instance(one.Instance), Incarnation: id.Incarnation(one.Incarnation)},
			Windows: make(map[usage.Window]usage.Counts, len(one.Windows)),
		}
		for _, w := range one.Windows {
			p.Windows[usage.Window(w.Window)] = w.asCounts()
		}
		out = append(out, p)
	}
	return out
}

// RecallResponseOf converts what a process knows of the reports.
func RecallResponseOf(h usage.History) *RecallResponse {
	message := &RecallResponse{
		Reported: uint64(h.Reported), Settled: int64(h.Settled), Since: h.Since,
		Unused: numbersOf[uint64](h.Unused), Heard: numbersOf[uint64](h.Heard),
		Vouched: numbersOf[uint64](h.Vouched),
	}
	if h.Decided != nil {
		message.Decided = windowCountsOf(h.Decided.Window, h.Decided.Counts)
	}
	return message
}

// AsHistory converts a message.
func (x *RecallResponse) AsHistory() usage.History {
	h := usage.History{
		Reported: id.FencingNumber(x.Reported), Settled: usage.Window(x.Settled), Since: x.Since,
		Unused: numbersOf[id.FencingNumber](x.Unused), Heard: numbersOf[id.FencingNumber](x.Heard),
		Vouched: numbersOf[id.FencingNumber](x.Vouched),
	}
	if x.Decided != nil {
		h.Decided = &usage.Report{Window: usage.Window(x.Decided.Window), Counts: x.Decided.asCounts()}
	}
	return h
}

func numbersOf[To, From ~uint64](numbers []From) []To {
	out := make([]To, len(numbers))
	for i, n := range numbers {
		out[i] = To(n)
	}
	return out
}
