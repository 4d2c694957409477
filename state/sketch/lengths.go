// Package sketch estimates answer lengths from those seen before.
package sketch

import (
	"math"

	"github.com/DataDog/sketches-go/ddsketch"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"samphirehead/state/id"
)

const (
	relativeAccuracy = 0.02
	// binCount covers a ratio of 1.02^512/0.98^512 between the shortest and
	// the longest length told apart, about 8e8.
	binCount = 512
	// forgetCount halves the weight of all lengths seen when reached.
	halvingCount = 2048
	// refreshCount is how many new lengths an estimate may lack.
	maxStaleCount = 16
	// trustCount is how many lengths make a workspace's own estimate.
	minWorkspaceCount = 8

	defaultWorkspaceLimit = 4096
	defaultLength         = id.Tokens(256)
)

// Lengths estimates the length of answers by class and workspace. Its zero
// value is ready for use. It is not safe for concurrent use.
type Lengths struct {
	// WorkspaceLimit bounds the pairs of class and workspace that are
	// remembered; the least recently used is forgotten first. 0 means 4096.
	WorkspaceLimit int
	// Default is the estimate for a class without history; 0 means 256.
	Default id.Tokens

	classes    map[id.Class]*lengthSketch
	workspaces *simplelru.LRU[classWorkspace, *lengthSketch]
}

type classWorkspace struct {
	class     id.Class
	workspace id.Workspace
}

// Guess is an estimate of one answer's length.
type Estimate struct {
	// Median is exceeded by half of the answers.
	Median id.Tokens
	// High is exceeded by one answer in ten; at least Median.
	High id.Tokens
}

// Observe records the length of a whole answer; lengths below 1 are ignored.
func (l *Lengths) Observe(class id.Class, workspace id.Workspace, length id.Tokens) {
	if length < 1 {
		return
	}
	l.init()
	if l.classes[class] == nil {
		l.classes[class] = newLengthSketch()
	}
	l.classes[class].add(length)
	key := classWorkspace{class, workspace}
	lengths, ok := l.workspaces.Get(key)
	if !ok {
		lengths = newLengthSketch()
		l.workspaces.Add(key, lengths)
	}
	lengths.add(length)
}

// Estimate guesses the length of the next answer: from the workspace's own
// history if it is long enough, else from the class's, else the default.
func (l *Lengths) Estimate(class id.Class, workspace id.Workspace) Estimate {
	l.init()
	lengths, ok := l.workspaces.Get(classWorkspace{class, workspace})
	if ok && lengths.count >= minWorkspaceCount {
		return lengths.estimate()
	}
	if lengths := l.classes[class]; lengths != nil {
		return lengths.estimate()
	}
	if l.Default > 0 {
		return Estimate{Median: l.Default, High: l.Default}
	}
	return Estimate{Median: defaultLength, High: defaultLength}
}

// Workspaces returns the number of pairs of class and workspace remembered.
func (l *Lengths) Workspaces() int {
	if l.workspaces == nil {
		return 0
	}
	return l.workspaces.Len()
}

func (l *Lengths) init() {
	if l.workspaces != nil {
		return
	}
	limit := l.WorkspaceLimit
	if limit < 1 {
		limit = defaultWorkspaceLimit
	}
	l.classes = map[id.Class]*lengthSketch{}
	// NewLRU fails only for a size below 1.
	l.workspaces, _ = simplelru.NewLRU[classWorkspace, *lengthSketch](limit, nil)
}

// estimate caches the quantiles of a sketch.
type lengthSketch struct {
	sketch *ddsketch.DDSketch
	count  int
	// stale counts the lengths added since the cached guess.
	stale  int
	cached Estimate
}

func newLengthSketch() *lengthSketch {
	// An accuracy strictly between 0 and 1 is never refused.
	s, _ := ddsketch.LogCollapsingLowestDenseDDSketch(relativeAccuracy, binCount)
	return &lengthSketch{sketch: s}
}

func (s *lengthSketch) add(length id.Tokens) {
	// Lengths are positive and finite, which the sketch always takes.
	_ = s.sketch.Add(float64(length))
	s.count++
	s.stale++
	if s.count < halvingCount {
		return
	}
	_ = s.sketch.Reweight(0.5)
	s.count /= 2
}

func (s *lengthSketch) estimate() Estimate {
	if s.cached.Median > 0 && s.stale < min(maxStaleCount, s.count/2) {
		return s.cached
	}
	s.cached = Estimate{Median: s.quantile(0.5), High: s.quantile(0.9)}
	s.stale = 0
	return s.cached
}

func (s *lengthSketch) quantile(q float64) id.Tokens {
	v, err := s.sketch.GetValueAtQuantile(q)
	if err != nil {
		return 1
	}
	return id.Tokens(max(1, math.Round(v)))
}
