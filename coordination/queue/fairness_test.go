package queue_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"samphirehead/coordination/queue"
	"samphirehead/state/id"
	"samphirehead/state/manifest"
)

const (
	estimate   = 256
	mostPrompt = 300
	mostAnswer = 512
	// shortAnswer bounds the answers of the first workspace.
	shortAnswer = 8
)

// backlog keeps workspaces waiting and counts what each is served.
type backlog struct {
	q       queue.Queue
	now     time.Time
	running []id.Reservation
	of      map[id.Reservation]queue.Arrived
	served  map[id.Workspace]id.Tokens
	next    int
}

func (b *backlog) arrive(t *rapid.T, w id.Workspace) {
	b.next++
	a := request(b.next, "quick", w)
	a.PromptTokens = id.Tokens(rapid.IntRange(1, mostPrompt).Draw(t, "prompt"))
	b.of[a.Reservation] = a
	b.take(b.q.Step(b.now, a))
}

func (b *backlog) take(effects []queue.Effect) {
	for _, g := range granted(effects) {
		b.running = append(b.running, g.Reservation)
	}
}

func (b *backlog) release(t *rapid.T) id.Workspace {
	i := rapid.IntRange(0, len(b.running)-1).Draw(t, "running")
	name := b.running[i]
	b.running = append(b.running[:i], b.running[i+1:]...)
	a := b.of[name]
	tokens := id.Tokens(rapid.IntRange(1, mostAnswer).Draw(t, "answer"))
	if a.Workspace == "w0" {
		tokens = min(tokens, shortAnswer)
	}
	b.served[a.Workspace] += a.PromptTokens + tokens
	b.take(b.q.Step(b.now, released(name, tokens)))
	return a.Workspace
}

// Workspaces that wait all the time are served tokens that differ by no more
// than two requests and the wrong estimates of what is running: whatever the
// sizes of their requests.
func TestFairOverWorkspaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 3).Draw(t, "slots")
		workspaces := rapid.IntRange(2, 5).Draw(t, "workspaces")
		b := &backlog{
			now: start, of: map[id.Reservation]queue.Arrived{}, served: map[id.Workspace]id.Tokens{},
			q: queue.Queue{WithoutEstimates: true, WithoutSlowing: true},
		}
		b.q.Step(b.now, configured([]manifest.Class{class("quick", 1, 0)}, engine("e0", slots)))
		names := make([]id.Workspace, workspaces)
		for i := range names {
			names[i] = id.Workspace(fmt.Sprintf("w%d", i))
		}
		for range slots + 3 {
			for _, w := range names {
				b.arrive(t, w)
			}
		}
		before := map[id.Workspace]id.Tokens{}
		for i := range 100 * workspaces {
			b.now = b.now.Add(time.Millisecond)
			b.arrive(t, b.release(t))
			if i == 5*workspaces {
				for _, w := range names {
					before[w] = b.served[w]
				}
			}
		}
		const largest = mostPrompt + mostAnswer
		bound := id.Tokens(2*largest + 2*slots*(largest+estimate))
		for _, w := range names[1:] {
			gap := (b.served[w] - before[w]) - (b.served[names[0]] - before[names[0]])
			if gap > bound || gap < -bound {
				t.Fatalf("%s was served %d tokens more than %s; the bound is %d", w, gap, names[0], bound)
			}
		}
	})
}

// A workspace that floods a class neither delays nor displaces the others.
func TestFloodStaysOutside(t *testing.T) {
	q := queue.Queue{}
	c := class("quick", 1, 0)
	c.QueueBound = 20
	q.Step(start, configured([]manifest.Class{c}, engine("e0", 1)))
	var refused []queue.Refused
	for i := range 100 {
		refused = append(refused, pick[queue.Refused](q.Step(start, request(i, "quick", "flood")))...)
	}
	if len(refused) != 79 {
		t.Fatalf("refused %d of the flood, want 79", len(refused))
	}
	effects := q.Step(start, request(1000, "quick", "other"))
	for _, r := range pick[queue.Refused](effects) {
		if r.Reservation == "r1000" {
			t.Fatalf("the flood keeps the other workspace out: %+v", r)
		}
	}
	got := granted(q.Step(start, released("r0", 100)))
	if len(got) != 1 || got[0].Reservation != "r1000" {
		t.Fatalf("granted %+v, want r1000 at once", got)
	}
}

// A workspace that has not asked for long leads by a short burst, and no more.
func TestIdleWorkspaceGainsOneBurst(t *testing.T) {
	q := queue.Queue{WithoutEstimates: true}
	q.Step(start, configured([]manifest.Class{class("quick", 1, 0)}, engine("e0", 1)))
	next, running := 0, id.Reservation("")
	turn := map[id.Workspace]int{}
	of := map[id.Reservation]id.Workspace{}
	arrive := func(w id.Workspace) {
		next++
		a := request(next, "quick", w)
		of[a.Reservation] = w
		for _, g := range granted(q.Step(start, a)) {
			running = g.Reservation
		}
	}
	serve := func() {
		running = granted(q.Step(start, released(running, estimate)))[0].Reservation
		turn[of[running]]++
	}
	arrive("late")
	for range 3 {
		arrive("busy")
	}
	for range 100 {
		serve()
		arrive("busy")
	}
	for range 60 {
		arrive("late")
		arrive("busy")
	}
	clear(turn)
	for range 60 {
		serve()
	}
	const burst = 16
	if lead := turn["late"] - turn["busy"]; lead > burst+1 {
		t.Errorf("the late workspace is %d turns ahead, want at most %d", lead, burst+1)
	}
}
