package metrics

import "cmp"

// busiest keeps the series of the most frequent names with the Space-Saving
// algorithm: a new name inherits the weight of the name that it evicts, so that
// weights may be too high but never too low.
type busiest[K cmp.Ordered] map[K]*series

// get returns the series of name. If name is new and there are limit names
// already, the one of least weight is evicted.
func (b *busiest[K]) get(name K, limit int) *series {
	if *b == nil {
		*b = make(busiest[K])
	}
	if s, ok := (*b)[name]; ok {
		return s
	}
	weight := int64(0)
	if len(*b) >= limit {
		weight = b.evictLightest()
	}
	s := newSeries(weight)
	(*b)[name] = s
	return s
}

// evictLightest removes the name of least weight and returns its weight.
func (b *busiest[K]) evictLightest() int64 {
	var lightest K
	weight := int64(-1)
	for name, s := range *b {
		if weight < 0 || s.weight < weight || (s.weight == weight && name < lightest) {
			lightest, weight = name, s.weight
		}
	}
	delete(*b, lightest)
	return weight
}
