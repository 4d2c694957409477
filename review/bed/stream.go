package bed

import (
	"slices"
	"strings"
	"sync"
)

const (
	// mostMixed is how many streams may hold events of two versions.
	mostMixed = 2
	// newVersion is the version of the workers that come later.
	newVersion = "v2"
)

// Stream is what a requester has of one stream.
type Stream struct {
	// First is the first attempt, and Last the number of the last event.
	First    string
	Last     int
	Versions []string
}

// Add adds an event.
func (s *Stream) Add(number int, data string) {
	version, _, _ := strings.Cut(data, " ")
	if !slices.Contains(s.Versions, version) {
		s.Versions = append(s.Versions, version)
	}
	s.Last = number
}

// Tally holds all streams.
type Tally struct {
	mu      sync.Mutex
	streams []*Stream
}

// Add adds a stream that has ended.
func (t *Tally) Add(s *Stream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.streams = append(t.streams, s)
}

// Judge reports whether more than mostMixed streams hold events of two versions.
func (t *Tally) Judge(r *Record) (broken bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	mixed, atNew := 0, 0
	for _, s := range t.streams {
		if slices.Contains(s.Versions, newVersion) {
			atNew++
		}
		if len(s.Versions) > 1 {
			mixed++
			r.Printf("stream %s holds events of %v", s.First, s.Versions)
		}
	}
	r.Result("%d streams, %d with events of the new version; %d hold events of workers of two versions (ORDER allows %d)",
		len(t.streams), atNew, mixed, mostMixed)
	return mixed > mostMixed
}
