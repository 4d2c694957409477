// Package sketch estimates the lengths of answers from those of earlier answers.
package sketch

import (
	"math"

	"github.com/DataDog/sketches-go/ddsketch"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"samphirehead/state/id"
)

const (
	relativeAccuracy = 0.02
	// binCount lets the longest length that is told apart be 1.02^512/0.98^512
	// times the shortest, about 8e8.
	binCount = 512
	// halvingCount is the number of lengths at which the weight of all of them
	// is halved, so that estimates follow recent lengths.
	halvingCount = 2048
	// maxStaleCount is the number of new lengths from which a cached estimate is
	// computed anew.
	maxStaleCount = 16
	// minWorkspaceCount is the number of lengths from which a workspace has an
	// estimate of its own.
	minWorkspaceCount = 8

	defaultWorkspaceLimit = 4096
	defaultLength         = id.Tokens(256)
)

// Lengths estimates the length of answers by class and workspace. The zero value
// is ready for use. It is not safe for concurrent use.
type Lengths struct {
	// WorkspaceLimit is the maximum number of pairs of class and workspace that
	// are kept; the least recently used is evicted first. 0 means 4096.
	WorkspaceLimit int
	// Default is the estimate for a class without earlier answers; 0 means 256.
	Default id.Tokens

	classes    map[id.Class]*lengthSketch
	workspaces *simplelru.LRU[classWorkspace, *lengthSketch]
}

type classWorkspace struct {
	class     id.Class
	workspace id.Workspace
}

// Estimate is the estimated length of one answer.
type Estimate struct {
	// Median is the 50th percentile of earlier lengths.
	Median id.Tokens
	// High is the 90th percentile of earlier lengths; at least Median.
	High id.Tokens
}

// Observe records the length of a complete answer; lengths below 1 are ignored.
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

// Estimate estimates the length of the next answer: from earlier answers of the
// workspace in this class if there are enough, otherwise from all earlier answers
// of the class, otherwise by the default.
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

// Workspaces returns the number of pairs of class and workspace that are kept.
func (l *Lengths) Len() int {
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

// lengthSketch is a sketch of lengths with a cached estimate.
type lengthSketch struct {
	sketch *ddsketch.DDSketch
	count  int
	// stale counts the lengths added since cached was computed.
	stale  int
	cached Estimate
}

func newLengthSketch() *lengthSketch {
	// The error is always nil for an accuracy strictly between 0 and 1.
	s, _ := ddsketch.LogCollapsingLowestDenseDDSketch(relativeAccuracy, binCount)
	return &lengthSketch{sketch: s}
}

func (s *lengthSketch) add(length id.Tokens) {
	// The error is always nil, as lengths are positive and finite.
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
