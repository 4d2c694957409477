// Package load generates load as the callers of instances do: it fetches the
// entries, caches them for their lifetime, sends requests there, obeys
// Retry-After, and checks every token of the answers.
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

// Profile describes the requests of one run.
type Profile struct {
	// Seed initializes the random generators of arrivals, lengths and
	// workspaces.
	Seed     uint64        `yaml:"seed"`
	Duration time.Duration `yaml:"duration"`
	// Keys holds the bearer key of each workspace.
	Keys    map[id.Workspace]string `yaml:"keys"`
	Streams []Stream                `yaml:"streams"`
}

// Stream is one kind of request with Poisson arrivals.
type Stream struct {
	// Class is a class of the manifest, and Tier its tier.
	Class id.Class `yaml:"class"`
	Tier  id.Tier  `yaml:"tier"`
	// FirstToken and BetweenTokens are the latency targets; BetweenTokens 0
	// means none.
	FirstToken    time.Duration `yaml:"first_token"`
	BetweenTokens time.Duration `yaml:"between_tokens"`
	// Timeout is how long the caller waits for its answer, retries included.
	Timeout time.Duration `yaml:"patience"`
	// PerSecond is the mean arrival rate in requests per second.
	PerSecond float64 `yaml:"per_second"`
	// Phases multiply the rate during parts of the run.
	Phases []Phase `yaml:"phases"`
	// Workspaces are the senders; each request draws one by weight.
	Workspaces []Weight `yaml:"workspaces"`

	// Model is set for chat completions; Service, Method and Path are set
	// for service calls.
	Model id.Model `yaml:"model"`
	// AnswerTokens and PromptTokens are the length distributions.
	AnswerTokens Lengths `yaml:"answer_tokens"`
	PromptTokens Lengths `yaml:"prompt_tokens"`
	// SharedPrefix is the fraction of a prompt, from 0 to 1, that is a
	// prefix common to all prompts of a workspace.
	SharedPrefix float64 `yaml:"shared_prefix"`
	// FixedPrompt, unless empty, is the prompt of all requests.
	FixedPrompt string `yaml:"same"`

	Service id.Service `yaml:"service"`
	Method  string     `yaml:"method"`
	// Path starts with "/"; the first "*" in it is replaced by a name
	// that is unique to the job and its copies.
	Path string `yaml:"path"`
	// AtMostOnce adds an idempotency key to each call.
	AtMostOnce bool `yaml:"at_most_once"`
	// Copies is how many callers send the same call at the same moment, each
	// to an entry of its own random choice; 0 means one.
	Copies int `yaml:"copies"`
}

// Phase multiplies the rate by Factor from one time, included, to another,
// excluded. Both count from the start of the run. Phases that overlap multiply.
type Phase struct {
	From   time.Duration `yaml:"from"`
	To     time.Duration `yaml:"to"`
	Factor float64       `yaml:"factor"`
}

// Weight is the probability of a workspace, relative to the others.
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

// Job is one request of a caller. It may take several attempts.
type Job struct {
	// Name is unique in a run.
	Name string
	// Stream is the stream that the job belongs to.
	Stream    *Stream
	Workspace id.Workspace
	// Arrival is when the job is sent, counted from the start of the run.
	Arrival time.Duration
	// Prefix and Prompt are the system and user messages of a completion.
	Prefix, Prompt string
	AnswerTokens   int
	// Key is the idempotency key; empty unless the call is at most once.
	Key string
	// Path and Body are those of a service call.
	Path string
	Body string
}

// Jobs returns all jobs of a run in order of arrival. The same profile gives
// the same jobs.
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
		// Arrivals are drawn at the peak rate; dropping some of them
		// thins them out to the rate at this time.
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

// drawJob draws one job and returns it with its copies.
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

// addPrompt draws the lengths of prompt and answer and generates the prompt.
// Its text answer_tokens=N tells the stand-in engine the length of the answer.
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

// filler returns words, repeated and cut to a size in bytes.
func filler(words string, size int) string {
	if size <= 0 {
		return ""
	}
	return strings.Repeat(words, size/len(words)+1)[:size]
}
