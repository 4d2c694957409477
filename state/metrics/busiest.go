package metrics

import "cmp"

// busiest keeps the series of the names that occur most. A name that takes the
// place of another starts from the other's weight, so that it never
// underestimates (the space-saving method).
type busiest[K cmp.Ordered] map[K]*series

// get returns the series of a name, in the place of the least one where there
// would be more than limit.
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

// evictLightest removes the name of least weight and returns that weight.
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
