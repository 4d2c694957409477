package router

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"golang.org/x/time/rate"
	"k8s.io/klog/v2"

	"samphirehead/coordination/capacity"
	"samphirehead/coordination/duty"
	"samphirehead/coordination/lease"
	"samphirehead/coordination/usage"
	"samphirehead/protocol/exchange"
	"samphirehead/state/boottime"
	"samphirehead/state/id"
	"samphirehead/state/record"
)

const (
	// dutyInterval is how often the leases of duties are looked at.
	dutyInterval = 100 * time.Millisecond
	// callRoom is how long a lease must last when a call under it begins, so that the call
	// arrives before the lease expires.
	callRoom = 250 * time.Millisecond
	// dutyCallTimeout bounds a call to the platform's interface for duties.
	dutyCallTimeout = 800 * time.Millisecond
	// dutyKeyPrefix begins the keys of the leases of duties.
	dutyKeyPrefix record.Key = "lease/"
)

// errNotHeld reports that this instance doesn't hold a subject, or not for long enough.
var errNotHeld = errors.New("subject not held")

// DutyCalls are the calls that need a grant.
type DutyCalls interface {
	// ReportUsage sends the usage of a window.
	ReportUsage(ctx context.Context, grant duty.Grant, report usage.Report) error
	// OrderCapacity orders upstreams. Its result holds with an error, too.
	OrderCapacity(ctx context.Context, grant duty.Grant, order capacity.Order) (capacity.Result, error)
}

// duties holds the leases of the subjects that this instance competes for.
type duties struct {
	self     id.Instance
	duration time.Duration
	// callsPerSecond bounds the calls of all instances.
	callsPerSecond float64
	limiter        *rate.Limiter
	// ended receives the results of reads and writes of leases.
	ended chan leaseOperation

	mu       sync.Mutex
	subjects map[duty.Subject]*subject
	resigned bool
}

// subject is what this instance has to do with one subject.
type subject struct {
	name duty.Subject
	// domain is the failure domain whose instances compete first; "" if there is none.
	domain      id.FailureDomain
	competition duty.Competition
	lease       lease.Lease
	// competing is set while the lease is competed for or held.
	competing bool
	// stopped is set if the subject is to be given up and removed.
	stopped bool
	// calls counts the calls in flight that need the grant.
	calls int
	// lastHeld is the last grant.
	lastHeld duty.Grant
}

// leaseOperation is the result of a read or a write of a lease.
type leaseOperation struct {
	subject *subject
	event   lease.Event
}

func (d *duties) init(r *Router) {
	d.self = r.Settings.Instance
	d.subjects = make(map[duty.Subject]*subject)
	d.ended = make(chan leaseOperation)
	if s := r.Settings.Duties; s != nil {
		d.duration, d.callsPerSecond = s.Lease, s.CallsPerSecond
		d.limiter = rate.NewLimiter(rate.Limit(s.CallsPerSecond), 1)
	}
}

// competeFor adds a subject for which this instance may compete. Instances of the failure
// domain compete first, if it is not "".
func (r *Router) competeFor(name duty.Subject, domain id.FailureDomain) {
	d := &r.duties
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.subjects[name]; s != nil {
		s.domain, s.stopped = domain, false
		return
	}
	d.subjects[name] = &subject{
		name: name, domain: domain,
		competition: duty.Competition{Self: d.self, Lease: d.duration},
		lease: lease.Lease{
			Key: dutyKeyPrefix + record.NewKey(string(name)), Holder: d.self, Incarnation: id.Attempt(uuid.NewString()),
			Duration: d.duration, NoReturn: true,
		},
	}
}

// stopCompetingFor gives up a subject, which is then added again only by competeFor.
func (r *Router) stopCompetingFor(name duty.Subject) {
	d := &r.duties
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.subjects[name]; s != nil {
		s.stopped = true
	}
}

// grant returns the grant under which this instance may act on a subject now.
func (r *Router) grant(name duty.Subject) (duty.Grant, bool) {
	d := &r.duties
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.grantOf(d.subjects[name])
}

// grantOf returns the grant of a subject, if it is held with room for a call to arrive.
// d.mu must be held.
func (d *duties) grantOf(s *subject) (duty.Grant, bool) {
	if s == nil || s.stopped || d.resigned {
		return duty.Grant{}, false
	}
	number, held := s.lease.Holds(boottime.Now().Add(callRoom))
	if !held {
		return duty.Grant{}, false
	}
	return duty.Grant{Holder: d.self, FencingNumber: number, Expiry: s.lease.Expiry()}, true
}

// perform makes a call that acts on a subject, if this instance holds it. The calls of all
// instances stay within the rate of the settings.
func (r *Router) perform(ctx context.Context, name duty.Subject, call func(context.Context, duty.Grant) error) error {
	ctx, cancel := context.WithTimeout(ctx, dutyCallTimeout)
	defer cancel()
	d := &r.duties
	if err := d.limiter.Wait(ctx); err != nil {
		return errors.Wrap(err, "rate of calls")
	}
	s, grant, err := d.begin(name)
	if err != nil {
		return err
	}
	defer d.end(s)
	return call(ctx, grant)
}

// begin returns a grant for a call, which is in flight until end.
func (d *duties) begin(name duty.Subject) (*subject, duty.Grant, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.subjects[name]
	grant, held := d.grantOf(s)
	if !held {
		return nil, duty.Grant{}, errNotHeld
	}
	s.calls++
	return s, grant, nil
}

func (d *duties) end(s *subject) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s.calls--
}

// runDuties competes for the subjects until ctx ends. When the drain starts, it gives up
// what this instance holds.
func (r *Router) runDuties(ctx context.Context) error {
	ticker := time.NewTicker(dutyInterval)
	defer ticker.Stop()
	drain := r.drain.requested
	running := 0
	for {
		running += r.stepDuties(ctx, nil)
		select {
		case <-ctx.Done():
			for range running {
				<-r.duties.ended
			}
			return nil
		case <-drain:
			drain = nil
			r.duties.resign()
		case operation := <-r.duties.ended:
			running--
			running += r.stepDuties(ctx, &operation)
		case <-ticker.C:
		}
	}
}

func (d *duties) resign() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.resigned = true
}

// stepDuties passes a result, if there is one, and the time to the leases. It returns how
// many operations it has started.
func (r *Router) stepDuties(ctx context.Context, operation *leaseOperation) int {
	candidates := r.dutyCandidates()
	d := &r.duties
	d.mu.Lock()
	defer d.mu.Unlock()
	started := 0
	if operation != nil {
		started += r.execute(ctx, operation.subject, operation.subject.lease.Step(boottime.Now(), operation.event))
	}
	holders := make(map[id.Instance]bool)
	for _, s := range d.subjects {
		now := boottime.Now()
		s.competition.Step(now, duty.CandidatesListed{Candidates: duty.Order(s.name, s.domain, candidates)})
		started += r.execute(ctx, s, s.lease.Step(now, d.eventFor(now, s)))
		d.announceOwn(s)
		if s.stopped && s.lease.Idle() {
			delete(d.subjects, s.name)
		}
		if heard, _ := s.competition.Heard(); heard.Holder != "" {
			holders[heard.Holder] = true
		}
	}
	if d.limiter != nil {
		d.limiter.SetLimit(rate.Limit(d.callsPerSecond / float64(max(len(holders), 1))))
	}
	return started
}

// eventFor returns the event that a lease is due at now.
func (d *duties) eventFor(now time.Time, s *subject) lease.Event {
	_, held := s.lease.Holds(now)
	competes := (held || s.competition.Competes(now)) && !s.stopped && !d.resigned
	switch {
	case !competes && s.competing && s.calls == 0:
		s.competing = false
		return lease.Resigned{}
	case competes && !s.competing:
		s.competing = true
		return lease.Started{}
	}
	return lease.Ticked{}
}

// announceOwn tells the competition of the lease that is held here, or was given up.
func (d *duties) announceOwn(s *subject) {
	if number, held := s.lease.Holds(boottime.Now()); held {
		s.lastHeld = duty.Grant{Holder: d.self, FencingNumber: number}
		s.competition.Step(boottime.Now(), duty.HoldingHeard{
			Holding: duty.Holding{Subject: s.name, Grant: s.lastHeld}, ConfirmedAt: s.lease.ConfirmedAt(),
		})
		return
	}
	if s.lease.Idle() && s.lastHeld.Holder != "" {
		s.lastHeld.Holder = ""
		s.competition.Step(boottime.Now(), duty.HoldingHeard{
			Holding: duty.Holding{Subject: s.name, Grant: s.lastHeld}, ConfirmedAt: boottime.Now(),
		})
	}
}

// execute carries out the effects of a lease, and returns how many operations it has
// started. r.duties.mu must be held.
func (r *Router) execute(ctx context.Context, s *subject, effects []lease.Effect) int {
	started := 0
	start := func(run func() lease.Event) {
		started++
		go func() { r.duties.ended <- leaseOperation{s, run()} }()
	}
	for _, effect := range effects {
		switch effect := effect.(type) {
		case lease.ReadRow:
			start(func() lease.Event {
				row, era, err := r.Platform.ReadRow(ctx, effect.Key)
				return lease.RowRead{Row: row, Era: era, Err: err}
			})
		case lease.WriteRow:
			start(func() lease.Event {
				result, era := r.Platform.WriteRow(ctx, effect.Write)
				return lease.RowWritten{Result: result, Era: era}
			})
		case lease.Acquired:
			klog.InfoS("duty acquired", "subject", s.name, "fencing_number", effect.FencingNumber)
			if s.name == duty.Usage {
				r.usage.hold(effect.FencingNumber)
			}
		case lease.Lost:
			klog.InfoS("duty lost", "subject", s.name, "fencing_number", effect.FencingNumber, "resigned", r.duties.resigned,
				"expired", boottime.Now().Sub(s.lease.Expiry()))
		}
	}
	return started
}

// dutyCandidates returns the instances that may hold duties, this one included.
func (r *Router) dutyCandidates() []duty.Candidate {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []duty.Candidate
	for _, record := range r.membership.Live(time.Now()) {
		if !record.Leaving {
			out = append(out, duty.Candidate{Instance: record.Instance, FailureDomain: record.FailureDomain})
		}
	}
	return out
}

// holder returns the holder of a subject, or "" if none is known.
func (d *duties) holder(name duty.Subject) id.Instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.subjects[name]
	if s == nil {
		return ""
	}
	heard, _ := s.competition.Heard()
	return heard.Holder
}

// holdingMessages returns what this instance knows of the holders of subjects.
func (d *duties) holdingMessages() []*exchange.Holding {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := boottime.Now()
	var messages []*exchange.Holding
	for _, s := range d.subjects {
		if heard, at := s.competition.Heard(); heard.FencingNumber != 0 {
			messages = append(messages, exchange.HoldingToProto(heard, at, now))
		}
	}
	return messages
}

// receiveHoldings applies what a peer knows of the holders of subjects.
func (d *duties) receiveHoldings(messages []*exchange.Holding) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := boottime.Now()
	for _, message := range messages {
		if s := d.subjects[duty.Subject(message.Subject)]; s != nil {
			holding, confirmedAt := message.AsHolding(now)
			s.competition.Step(now, duty.HoldingHeard{Holding: holding, ConfirmedAt: confirmedAt})
		}
	}
}

// dutyStatus is what this instance knows of the holder of a subject.
type dutyStatus struct {
	// Holder is empty if the subject was given up.
	Holder        id.Instance      `json:"holder"`
	FencingNumber id.FencingNumber `json:"fencing_number"`
	// ConfirmedAge is the time since the holder confirmed its lease, in milliseconds.
	ConfirmedAge int64 `json:"confirmed_age_ms"`
	// Competing is set while this instance holds the lease or tries to acquire it.
	Competing bool `json:"competing"`
}

func (d *duties) status() map[duty.Subject]dutyStatus {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[duty.Subject]dutyStatus, len(d.subjects))
	for name, s := range d.subjects {
		heard, at := s.competition.Heard()
		one := dutyStatus{Holder: heard.Holder, FencingNumber: heard.FencingNumber, Competing: s.competing}
		if heard.FencingNumber != 0 {
			one.ConfirmedAge = boottime.Now().Sub(at).Milliseconds()
		}
		out[name] = one
	}
	return out
}
