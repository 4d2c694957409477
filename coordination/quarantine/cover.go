package quarantine

import (
	"cmp"
	"slices"
	"time"

	"samphirehead/state/id"
)

const (
	// partCrashLimit is the number of crashes that quarantines a part. One whose answers
	// began before needs one more, over provenSpan or longer.
	partCrashLimit = 3
	provenSpan     = 2 * time.Second
	// separation is the time after a crash from which the next one counts as a further one.
	separation = 300 * time.Millisecond
	// burstCrashes is how many crashes in one burst count as two. burstSpan is how long after
	// the first of so many a part is the cause if no answer has begun, before or since, and no
	// other part explains minUnexplained of them.
	burstCrashes   = 5
	burstSpan      = time.Second
	minUnexplained = 2
)

// candidate is a part that may have caused crashes which no quarantined part explains.
type candidate struct {
	part id.Fingerprint
	// crashes are their indexes, and times when they were.
	crashes []int
	times   []time.Time
	// explained is how many others it may have caused that a quarantined part explains, and
	// first the time of the first of all.
	explained int
	first     time.Time
	// requests is the number of requests with the part that they lost.
	requests int
	// proven is set if an answer to a request with the part has begun before.
	proven, local bool
}

// diagnose quarantines parts until no part explains enough of the crashes that remain: a greedy
// cover of the crashes by parts. Those that explain the same crashes, with no reason to prefer
// one, are quarantined together; trials tell them apart.
func (d *Diagnosis) diagnose(now time.Time) []Effect {
	var effects []Effect
	d.changed = false
	d.expire(now)
	for {
		candidates := d.candidates()
		d.nextDue = nextDue(now, candidates)
		if len(candidates) == 0 {
			return effects
		}
		best := slices.MinFunc(candidates, comparedAt(now))
		if !best.isCause(now) {
			return effects
		}
		for _, c := range candidates {
			if c.isCause(now) && c.proven == best.proven && c.requests == best.requests && slices.Equal(c.crashes, best.crashes) {
				q := Quarantine{Fingerprint: c.part, First: c.times[0], Last: c.times[len(c.times)-1]}
				effects = append(effects, d.quarantine(heldPart{q, now, c.local}))
			}
		}
	}
}

// passTime quarantines parts that are the cause by the time that has passed. Without news it does
// nothing until that may be so.
func (d *Diagnosis) passTime(now time.Time) []Effect {
	due := !d.nextDue.IsZero() && !now.Before(d.nextDue)
	if !due && !d.changed {
		return nil
	}
	return d.diagnose(now)
}

// nextDue returns when time alone makes a candidate the cause; zero if it never does.
func nextDue(now time.Time, candidates []candidate) (next time.Time) {
	for _, c := range candidates {
		due := c.first.Add(burstSpan)
		if !c.proven && due.After(now) && c.inBurst() && (next.IsZero() || due.Before(next)) {
			next = due
		}
	}
	return next
}

// candidates returns the suspects of the crashes that are not explained. It goes through the
// records twice.
func (d *Diagnosis) candidates() []candidate {
	var found []candidate
	index := make(map[id.Fingerprint]int)
	for n, c := range d.crashes {
		if d.isExplained(c) {
			continue
		}
		for _, r := range c.records {
			if !d.suspects(r) {
				continue
			}
			i, ok := index[r.Fingerprint]
			if !ok {
				i = len(found)
				index[r.Fingerprint] = i
				found = append(found, candidate{part: r.Fingerprint, proven: d.begun.Contains(r.Fingerprint)})
			}
			found[i].add(n, c.at, r.Local)
		}
	}
	d.countExplained(found, index)
	return found
}

// countExplained sets how many crashes that are explained each candidate may have caused, and
// when the first of all was. index holds the candidates' positions by part.
func (d *Diagnosis) countExplained(found []candidate, index map[id.Fingerprint]int) {
	lastCrash := make([]int, len(found))
	crashes := make([]int, len(found))
	for n, c := range d.crashes {
		for _, r := range c.records {
			i, ok := index[r.Fingerprint]
			if !ok || lastCrash[i] == n+1 || !d.suspects(r) {
				continue
			}
			if crashes[i] == 0 {
				found[i].first = c.at
			}
			lastCrash[i] = n + 1
			crashes[i]++
		}
	}
	for i := range found {
		found[i].explained = crashes[i] - len(found[i].crashes)
	}
}

// add adds a request that crash number n lost.
func (c *candidate) add(n int, at time.Time, local bool) {
	c.requests++
	c.local = c.local || local
	if len(c.crashes) > 0 && c.crashes[len(c.crashes)-1] == n {
		return
	}
	c.crashes, c.times = append(c.crashes, n), append(c.times, at)
}

// comparedAt orders candidates by how likely they are the cause: enough crashes for a quarantine,
// no answer ever, more crashes, fewer requests that were lost.
func comparedAt(now time.Time) func(a, b candidate) int {
	number := func(is bool) int {
		if is {
			return 1
		}
		return 0
	}
	return func(a, b candidate) int {
		return cmp.Or(number(b.isCause(now))-number(a.isCause(now)), number(a.proven)-number(b.proven),
			len(b.crashes)-len(a.crashes), a.requests-b.requests, cmp.Compare(a.part, b.part))
	}
}

// isCause reports whether the crashes are enough for a quarantine.
func (c candidate) isCause(now time.Time) bool {
	n := countSeparated(c.times)
	if c.proven {
		return n > partCrashLimit && c.times[len(c.times)-1].Sub(c.times[0]) >= provenSpan
	}
	return n >= partCrashLimit || c.inBurst() && now.Sub(c.first) >= burstSpan
}

// inBurst reports whether the crashes are enough for a quarantine after burstSpan.
func (c candidate) inBurst() bool {
	return len(c.times) >= minUnexplained && len(c.times)+c.explained >= burstCrashes
}

// countSeparated returns how many crashes those at these times, in order, count as. Those in
// one burst count as one, because several upstreams may crash at once for another reason, which
// is no evidence against a part that many requests have. burstCrashes or more count as two: one
// more crash, with no answer in between, is then enough.
func countSeparated(times []time.Time) int {
	n, inBurst := 0, 0
	var first time.Time
	for _, at := range times {
		if inBurst == 0 || at.Sub(first) >= separation {
			first, inBurst = at, 0
		}
		inBurst++
		if inBurst == 1 || inBurst == burstCrashes {
			n++
		}
	}
	return n
}

// SuspectsChiefly reports whether a request with these parts would probably crash a further
// upstream: one of them may have caused two crashes or more, and no part of other requests as
// many of these.
func (d *Diagnosis) SuspectsChiefly(parts []id.Fingerprint) bool {
	d.init()
	candidates := d.candidates()
	return slices.ContainsFunc(candidates, func(c candidate) bool {
		if !slices.Contains(parts, c.part) || countSeparated(c.times) < partCrashLimit-1 {
			return false
		}
		return !slices.ContainsFunc(candidates, func(other candidate) bool {
			return len(other.crashes) >= len(c.crashes) && !slices.Contains(parts, other.part) && other.shares(c) >= len(c.crashes)
		})
	})
}

// shares returns how many crashes two candidates may both have caused.
func (c candidate) shares(other candidate) int {
	n := 0
	for i, k := 0, 0; i < len(c.crashes) && k < len(other.crashes); {
		switch a, b := c.crashes[i], other.crashes[k]; {
		case a < b:
			i++
		case a > b:
			k++
		default:
			n, i, k = n+1, i+1, k+1
		}
	}
	return n
}
