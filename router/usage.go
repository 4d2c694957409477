package router

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"samphirehead/coordination/duty"
	"samphirehead/coordination/heartbeat"
	"samphirehead/coordination/rendezvous"
	"samphirehead/coordination/usage"
	"samphirehead/protocol/exchange"
	"samphirehead/state/boottime"
	"samphirehead/state/id"
	"samphirehead/state/record"
	"samphirehead/state/settings"
)

const (
	// usageInterval is how often counts are passed on, and lastCountsTimeout bounds the last
	// time, when the process ends.
	usageInterval     = 500 * time.Millisecond
	lastCountsTimeout = 300 * time.Millisecond
)

// usageCounter counts the requests that upstreams began. It is unused, with enabled unset,
// if the settings don't ask for reports of usage.
type usageCounter struct {
	enabled bool

	mu       sync.Mutex
	windows  usage.Windows
	ledger   usage.Ledger
	reporter usage.Reporter
	// leftOut is how many of the windows that the reporter left out were logged.
	leftOut uint64
}

func (u *usageCounter) init(s *settings.Duties, self usage.Process) {
	if !s.Has(settings.DutyUsage) {
		return
	}
	u.enabled = true
	u.windows.Length = s.Usage.Window
	u.ledger.Self = self
	u.reporter = usage.Reporter{Ledger: &u.ledger, Windows: &u.windows, Lateness: s.Usage.Lateness, Lease: s.Lease}
}

// now returns the true time. u.mu must be held.
func (u *usageCounter) now() time.Time { return u.windows.Now(boottime.Now(), time.Now()) }

// count counts a request that an upstream began just now.
func (u *usageCounter) count(workspace id.Workspace) {
	if !u.enabled || workspace == "" {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ledger.Count(u.windows.At(u.now()), workspace)
}

// countRun counts the request, once, when an upstream has begun to run it. A resumption is
// part of a request that was counted, and a relayed one counts where it runs.
func (j *job) countRun(a *attempt) {
	if j.counted || j.isResumption() || a.relay != "" {
		return
	}
	j.counted = true
	j.router.usage.count(j.workspaceName())
}

// enter notes the current window.
func (u *usageCounter) enter() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ledger.Enter(u.windows.At(u.now()))
}

// settle drops the counts of a window and of earlier ones.
func (u *usageCounter) settle(w usage.Window) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ledger.Settle(w)
}

// passUsage passes the counts on until ctx ends.
func (r *Router) passUsage(ctx context.Context) error {
	ticker := time.NewTicker(usageInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			last, cancel := context.WithTimeout(context.WithoutCancel(ctx), lastCountsTimeout)
			defer cancel()
			r.passCounts(last)
			return nil
		case <-ticker.C:
			r.usage.enter()
			r.passCounts(ctx)
		}
	}
}

// passCounts passes the counts on once: those of this process, and of those that ended, to
// the collector of the failure domain; as the collector, all to the holder of the duty.
func (r *Router) passCounts(ctx context.Context) {
	plan := r.usageRoute()
	if plan.address == "" {
		return
	}
	r.usage.mu.Lock()
	counts := r.usage.ledger.Counts(func(p usage.Process) bool {
		return plan.all || p == r.usage.ledger.Self || !plan.live[p.Instance]
	})
	message := exchange.UsageCountsOf(counts)
	message.LastNumber = uint64(r.usage.reporter.LastHeard())
	r.usage.mu.Unlock()
	receipt, err := r.peers.Collect(ctx, plan.address, message)
	if err != nil {
		klog.V(1).InfoS("usage not passed on", "peer", plan.address, "err", err)
		return
	}
	r.usage.settle(usage.Window(receipt.Settled))
}

// usageRoute is where counts go from here.
type usageRoute struct {
	// address is "" if the counts go nowhere: this instance holds the duty, or nobody does.
	address string
	// all is set if the counts of all processes go there.
	all  bool
	live map[id.Instance]bool
}

func (r *Router) usageRoute() usageRoute {
	holder := r.duties.holder(duty.Usage)
	live := r.liveRecords()
	self := r.Settings.Instance
	route := usageRoute{live: make(map[id.Instance]bool)}
	addresses := make(map[id.Instance]string)
	var nearby []id.Instance
	holderNearby := false
	for _, record := range live {
		route.live[record.Instance] = true
		addresses[record.Instance] = record.PeerAddress
		if record.FailureDomain != r.Settings.FailureDomain {
			continue
		}
		holderNearby = holderNearby || record.Instance == holder
		if !record.Leaving {
			nearby = append(nearby, record.Instance)
		}
	}
	collector := rendezvous.Home("usage/"+string(r.Settings.FailureDomain), nearby)
	switch {
	case holder == self:
	case holderNearby:
		route.address, route.all = addresses[holder], collector == self
	case collector == self:
		route.address, route.all = addresses[holder], true
	default:
		route.address = addresses[collector]
	}
	return route
}

// liveRecords returns the records of the live instances.
func (r *Router) liveRecords() []heartbeat.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.membership.Live(time.Now())
}

// Collect takes the counts of other instances.
func (r *Router) Collect(_ context.Context, counts *exchange.UsageCounts) (*exchange.UsageReceipt, error) {
	holder := r.duties.holder(duty.Usage)
	u := &r.usage
	if !u.enabled {
		return &exchange.UsageReceipt{}, nil
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.reporter.Hear(id.FencingNumber(counts.LastNumber), time.Time{})
	current := u.windows.At(u.now())
	for _, one := range counts.AsProcessCounts() {
		u.ledger.Merge(one, current)
	}
	return &exchange.UsageReceipt{Settled: int64(u.ledger.Settled()), Accepted: holder != ""}, nil
}

// reportUsage reports the usage while this instance holds the duty, until ctx ends.
func (r *Router) reportUsage(ctx context.Context) error {
	ticker := time.NewTicker(usageInterval)
	defer ticker.Stop()
	var held id.FencingNumber
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		var number id.FencingNumber
		if grant, ok := r.grant(duty.Usage); ok {
			number = grant.FencingNumber
		}
		if number != held {
			r.stepReporter(usage.Lost{})
			if number != 0 {
				r.stepReporter(usage.Acquired{FencingNumber: number})
			}
			held = number
		}
		r.report(ctx)
	}
}

// report carries out what the reporter has to do, until it has nothing left, fails or has asked in
// vain.
func (r *Router) report(ctx context.Context) {
	var live []id.Instance
	for _, record := range r.liveRecords() {
		live = append(live, record.Instance)
	}
	for {
		effect := r.stepReporter(usage.Ticked{Live: live})
		if effect == nil {
			return
		}
		ev, err := r.runUsageEffect(ctx, effect)
		r.stepReporter(ev)
		if err != nil {
			klog.InfoS("usage not reported", "err", err)
			return
		}
		r.logLeftOut()
		if _, asked := effect.(usage.Recall); asked && !r.usage.certain() {
			return
		}
	}
}

func (r *Router) stepReporter(ev usage.Event) usage.Effect {
	r.usage.mu.Lock()
	defer r.usage.mu.Unlock()
	return r.usage.reporter.Step(r.usage.now(), ev)
}

// runUsageEffect carries out an effect of the reporter, and returns its result and the error
// that it failed with.
func (r *Router) runUsageEffect(ctx context.Context, effect usage.Effect) (usage.Event, error) {
	switch effect := effect.(type) {
	case usage.ReadRows:
		rows, era, err := r.Platform.ReadRows(ctx, usage.KeyPrefix)
		return usage.RowsRead{Rows: rows, Era: era, Err: err}, err
	case usage.Recall:
		return r.recallUsage(ctx, effect), nil
	case usage.WriteRow:
		result, era := r.Platform.WriteRow(ctx, effect.Write)
		return usage.RowWritten{Result: result, Era: era}, writeError(result)
	case usage.Send:
		err := r.perform(ctx, duty.Usage, func(ctx context.Context, grant duty.Grant) error {
			return r.Duties.ReportUsage(ctx, grant, effect.Report)
		})
		if err == nil {
			r.logReport(effect.Report)
		}
		return usage.Sent{Err: err}, err
	}
	panic("unknown effect of the reporter")
}

// writeError returns why it is not known that a write was applied or conflicted; nil if it is.
func writeError(result record.WriteResult) error {
	switch result := result.(type) {
	case record.Refused:
		return result.Err
	case record.Unknown:
		return result.Err
	}
	return nil
}

func (r *Router) logReport(report usage.Report) {
	r.usage.mu.Lock()
	late := r.usage.now().Sub(r.usage.windows.End(report.Window))
	dropped := r.usage.ledger.Dropped()
	r.usage.mu.Unlock()
	var requests uint64
	for _, n := range report.Counts {
		requests += n
	}
	klog.InfoS("usage reported", "window", report.Window, "workspaces", len(report.Counts), "requests", requests, "after", late, "dropped", dropped)
}
