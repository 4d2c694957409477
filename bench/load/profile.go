// Package load drives instances the way callers do: it asks them for entries,
// keeps the answer for its lifetime, connects there, heeds Retry-After, and
// checks every token of its answers.
package load

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"samphirehead/state/id"
)

// Profile describes a load.
type Profile struct {
	// Seed fixes arrivals, lengths and workspaces.
	Seed     uint64        `yaml:"seed"`
	Duration time.Duration `yaml:"duration"`
	// Keys holds the bearer key of each workspace.
	Keys    map[id.Workspace]string `yaml:"keys"`
	Streams []Stream                `yaml:"streams"`
}

// Stream is one kind of request with Poisson arrivals.
type Stream struct {
	// Class and Tier are those of the manifest.
	Class id.Class `yaml:"class"`
	Tier  id.Tier  `yaml:"tier"`
	// FirstToken and BetweenTokens are the targets.
	FirstToken    time.Duration `yaml:"first_token"`
	BetweenTokens time.Duration `yaml:"between_tokens"`
	// Patience is when the caller gives up.
	Timeout time.Duration `yaml:"patience"`
	// PerSecond is the mean rate of arrivals.
	PerSecond float64 `yaml:"per_second"`
	// Phases change the rate; outside of them it is PerSecond.
	Phases []Phase `yaml:"phases"`
	// Workspaces are drawn with the given weights.
	Workspaces []Weight `yaml:"workspaces"`

	// Model is set for chat completions, Path for calls of Service.
	Model id.Model `yaml:"model"`
	// AnswerTokens and PromptTokens are the distributions of lengths.
	AnswerTokens Lengths `yaml:"answer_tokens"`
	PromptTokens Lengths `yaml:"prompt_tokens"`
	// SharedPrefix is the part of a prompt that all prompts of a workspace
	// begin with, from 0 to 1.
	SharedPrefix float64 `yaml:"shared_prefix"`
	// Same, unless empty, is the prompt of all requests.
	FixedPrompt string `yaml:"same"`

	Service id.Service `yaml:"service"`
	Method  string     `yaml:"method"`
	// Path starts with "/"; a final "/*" is replaced by a name.
	Path string `yaml:"path"`
	// AtMostOnce calls carry an idempotency key.
	AtMostOnce bool `yaml:"at_most_once"`
	// Copies is how many callers send the same call at the same moment, to
	// different entries; 0 means one.
	Copies int `yaml:"copies"`
}

// Phase multiplies the rate from one time to another, counted from the start.
type Phase struct {
	From   time.Duration `yaml:"from"`
	To     time.Duration `yaml:"to"`
	Factor float64       `yaml:"factor"`
}

// Weight is how often a workspace is drawn, relative to the others.
type Weight struct {
	Workspace id.Workspace `yaml:"workspace"`
	Weight    float64      `yaml:"weight"`
}

// Lengths is a log-normal distribution of token counts.
type Lengths struct {
	Median float64 `yaml:"median"`
	// Sigma is the standard deviation of the logarithm.
	Sigma float64 `yaml:"sigma"`
	Max   int     `yaml:"max"`
}

func (l Lengths) draw(r *rand.Rand) int {
	n := int(math.Round(l.Median * math.Exp(l.Sigma*r.NormFloat64())))
	n = max(n, 1)
	if l.Max > 0 {
		n = min(n, l.Max)
	}
	return n
}

// Job is one request that a caller wants answered.
type Job struct {
	// Name is unique in a run.
	Name string
	// Stream is what the job was drawn from.
	Stream    *Stream
	Workspace id.Workspace
	// At is the time of arrival after the start.
	Arrival time.Duration
	// Prompt is the text of a completion; Prefix comes before it.
	Prefix, Prompt string
	AnswerTokens   int
	// Key is the idempotency key of an at-most-once call.
	Key string
	// Path is the path of a service call.
	Path string
	Body string
}

// Jobs draws all arrivals in order of time. The same profile gives the same
// jobs.
func (p *Profile) Jobs() []Job {
	var jobs []Job
	for i := range p.Streams {
		r := rand.New(rand.NewPCG(p.Seed, uint64(i)))
		jobs = append(jobs, p.Streams[i].drawJobs(r, i, p.Duration)...)
	}
	slices.SortStableFunc(jobs, func(a, b Job) int { return int(a.Arrival - b.Arrival) })
	return jobs
}

func (s *Stream) drawJobs(r *rand.Rand, index int, duration time.Duration) []Job {
	peakRate := s.PerSecond
	for _, phase := range s.Phases {
		peakRate = max(peakRate, s.PerSecond*phase.Factor)
	}
	if peakRate <= 0 {
		return nil
	}
	var jobs []Job
	at := time.Duration(0)
	for n := 0; ; n++ {
		at += time.Duration(r.ExpFloat64() / peakRate * float64(time.Second))
		if at >= duration {
			return jobs
		}
		// Arrivals beyond the rate of the moment are dropped.
		if r.Float64()*peakRate >= s.rateAt(at) {
			continue
		}
		jobs = append(jobs, s.drawJob(r, strconv.Itoa(index)+"-"+strconv.Itoa(n), at)...)
	}
}

func (s *Stream) rateAt(at time.Duration) float64 {
	rate := s.PerSecond
	for _, phase := range s.Phases {
		if at >= phase.From && at < phase.To {
			rate *= phase.Factor
		}
	}
	return rate
}

// job draws one job, or all copies of one.
func (s *Stream) drawJob(r *rand.Rand, name string, at time.Duration) []Job {
	j := Job{Name: name, Stream: s, Workspace: s.drawWorkspace(r), Arrival: at}
	if s.Model != "" {
		s.addPrompt(r, &j)
		return []Job{j}
	}
	j.Path = strings.Replace(s.Path, "*", "troupe-"+name, 1)
	j.Body = "slot " + name
	if s.AtMostOnce {
		j.Key = "key-" + name
	}
	jobs := []Job{j}
	for n := 1; n < s.Copies; n++ {
		duplicate := j
		duplicate.Name += "-copy" + strconv.Itoa(n)
		jobs = append(jobs, duplicate)
	}
	return jobs
}

func (s *Stream) drawWorkspace(r *rand.Rand) id.Workspace {
	total := 0.0
	for _, w := range s.Workspaces {
		total += w.Weight
	}
	remaining := r.Float64() * total
	for _, w := range s.Workspaces {
		remaining -= w.Weight
		if remaining < 0 {
			return w.Workspace
		}
	}
	return s.Workspaces[len(s.Workspaces)-1].Workspace
}

const bytesPerToken = 4

// addPrompt writes a prompt of the drawn length, which tells the stand-in
// engine how long the answer is.
func (s *Stream) addPrompt(r *rand.Rand, j *Job) {
	if s.FixedPrompt != "" {
		j.AnswerTokens = 1
		j.Prompt = s.FixedPrompt + " answer_tokens=1"
		return
	}
	promptBytes := s.PromptTokens.draw(r) * bytesPerToken
	j.AnswerTokens = s.AnswerTokens.draw(r)
	prefixBytes := int(float64(promptBytes) * s.SharedPrefix)
	j.Prefix = filler("history of "+string(j.Workspace)+" ", prefixBytes)
	question := "question " + j.Name + " answer_tokens=" + strconv.Itoa(j.AnswerTokens)
	j.Prompt = filler(j.Name+" ", promptBytes-prefixBytes-len(question)) + question
}

// filler repeats words up to a size in bytes.
func filler(words string, size int) string {
	if size <= 0 {
		return ""
	}
	return strings.Repeat(words, size/len(words)+1)[:size]
}
