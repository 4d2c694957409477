package quarantine

import (
	"slices"
	"time"

	"samphirehead/state/id"
)

const (
	// maxCrashes bounds the crashes that a Diagnosis keeps, and maxSuspects the records of
	// each.
	maxCrashes  = 128
	maxSuspects = 64
)

// crash is one crash of an upstream: the records of the requests that it lost before their
// answers began.
type crash struct {
	// at is the time of the first record.
	at      time.Time
	records []Record
}

// add adds a record to the crash that it belongs to, or to a new one. It returns false if it
// says nothing new.
func (d *Diagnosis) add(r Record) bool {
	if r.Fingerprint == 0 {
		return false
	}
	if begunAt, ok := d.begun.Peek(r.Fingerprint); ok {
		// Others suspect the part.
		d.clearances.Add(r.Fingerprint, r.At)
		if !r.At.After(begunAt) {
			return false
		}
	}
	for i := range d.crashes {
		if sameCrash(d.crashes[i].records[0], r) {
			added := d.crashes[i].add(r)
			if added {
				d.records[r.Fingerprint]++
			}
			return added
		}
	}
	d.records[r.Fingerprint]++
	d.crashes = append(d.crashes, crash{at: r.At, records: []Record{r}})
	slices.SortStableFunc(d.crashes, func(a, b crash) int { return a.at.Compare(b.at) })
	if len(d.crashes) > maxCrashes {
		d.dropCrash()
	}
	return true
}

func (c *crash) add(r Record) bool {
	known := func(k Record) bool { return k.Request == r.Request && k.Fingerprint == r.Fingerprint }
	if len(c.records) >= maxSuspects || slices.ContainsFunc(c.records, known) {
		return false
	}
	c.records = append(c.records, r)
	return true
}

// dropCrash drops the oldest crash, of those that quarantined parts explain if there are any.
func (d *Diagnosis) dropCrash() {
	i := slices.IndexFunc(d.crashes, func(c crash) bool { return d.isExplained(c) })
	d.forget(d.crashes[max(i, 0)])
	d.crashes = slices.Delete(d.crashes, max(i, 0), max(i, 0)+1)
}

// expire drops the crashes that don't count any more.
func (d *Diagnosis) expire(now time.Time) {
	d.crashes = slices.DeleteFunc(d.crashes, func(c crash) bool {
		expired := now.Sub(c.at) >= defaultLifetime
		if expired {
			d.forget(c)
		}
		return expired
	})
}

// forget uncounts the records of a crash that is dropped.
func (d *Diagnosis) forget(c crash) {
	for _, r := range c.records {
		if d.records[r.Fingerprint]--; d.records[r.Fingerprint] <= 0 {
			delete(d.records, r.Fingerprint)
		}
	}
}

// suspects reports whether the part of a record may have caused its crash: no answer has begun
// since.
func (d *Diagnosis) suspects(r Record) bool {
	begunAt, ok := d.begun.Peek(r.Fingerprint)
	return !ok || r.At.After(begunAt)
}

// isSuspected reports whether a part may have caused a crash, explained or not.
func (d *Diagnosis) isSuspected(f id.Fingerprint) bool {
	return d.records[f] > 0 && slices.ContainsFunc(d.crashes, func(c crash) bool { return d.maySuspect(c, f) })
}

func (d *Diagnosis) maySuspect(c crash, f id.Fingerprint) bool {
	return slices.ContainsFunc(c.records, func(r Record) bool { return r.Fingerprint == f && d.suspects(r) })
}

// isExplained reports whether a quarantined part may have caused the crash.
func (d *Diagnosis) isExplained(c crash) bool {
	return slices.ContainsFunc(c.records, func(r Record) bool {
		return d.quarantined.Contains(r.Fingerprint) && d.suspects(r)
	})
}

// suspectsOf returns the parts that may have caused a crash.
func (d *Diagnosis) suspectsOf(c crash) []id.Fingerprint {
	var parts []id.Fingerprint
	for _, r := range c.records {
		if d.suspects(r) && !slices.Contains(parts, r.Fingerprint) {
			parts = append(parts, r.Fingerprint)
		}
	}
	return parts
}

// comesWith reports whether one request that the crash lost had a part and all of the others.
func (c crash) comesWith(f id.Fingerprint, others []id.Fingerprint) bool {
	has := func(request id.Request, part id.Fingerprint) bool {
		return slices.ContainsFunc(c.records, func(r Record) bool { return r.Request == request && r.Fingerprint == part })
	}
	return slices.ContainsFunc(c.records, func(r Record) bool {
		missing := func(other id.Fingerprint) bool { return !has(r.Request, other) }
		return r.Fingerprint == f && !slices.ContainsFunc(others, missing)
	})
}

// crashesOf returns how many crashes a part may have caused, and when the first was.
func (d *Diagnosis) crashesOf(f id.Fingerprint) (n int, first time.Time) {
	if d.records[f] == 0 {
		return 0, time.Time{}
	}
	for _, c := range d.crashes {
		if !d.maySuspect(c, f) {
			continue
		}
		if n == 0 {
			first = c.at
		}
		n++
	}
	return n, first
}
