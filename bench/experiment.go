package bench

import (
	"context"
	"fmt"
	"io"
	"time"

	"samphirehead/bench/cluster"
	"samphirehead/bench/load"
	"samphirehead/bench/score"
	"samphirehead/state/id"
)

const progressInterval = time.Second

// Experiment is one run of a scenario under a policy.
type Experiment struct {
	Scenario Scenario
	Policy   Policy
	// Duration is how long requests are sent.
	Duration time.Duration
	Seed     uint64
	// Progress receives one line each second; nil turns this off.
	Progress io.Writer
}

// Run starts a cluster, runs the scenario, stops the cluster and returns the
// score. The error is that of starting or stopping the cluster; failed steps
// are counted in the report.
func (e *Experiment) Run(ctx context.Context) (score.Result, Report, error) {
	c := cluster.New(e.Policy.NewInstance)
	err := c.Start(ctx)
	if err != nil {
		_ = c.Stop()
		return score.Result{}, Report{}, err
	}
	result, report := e.RunOn(ctx, c)
	return result, report, c.Stop()
}

// RunOn runs the scenario on a started cluster, which keeps running afterwards.
func (e *Experiment) RunOn(ctx context.Context, c *cluster.Cluster) (score.Result, Report) {
	runner := &load.Runner{
		Caller: &load.Caller{Instances: c.URLs(), Keys: cluster.Keys()},
		Profile: &load.Profile{
			Seed: e.Seed, Duration: e.Duration, Keys: cluster.Keys(), Streams: e.Scenario.Streams(e.Duration),
		},
	}
	steps := &stepRunner{cluster: c, duration: e.Duration}
	start := time.Now()
	stepsDone := make(chan struct{})
	go func() {
		defer close(stepsDone)
		steps.run(ctx, start, e.Scenario.Steps)
	}()
	stopProgress := e.showProgress(runner)
	records := runner.Run(ctx)
	stopProgress()
	<-stepsDone
	run := groundTruth(c)
	run.Start, run.Duration, run.Records = start, e.Duration, records
	result := run.Score()
	result.Scenario, result.Policy, result.Seed = e.Scenario.Name, string(e.Policy), e.Seed
	report := steps.report
	report.complete(c, records, e.Scenario.Offender)
	return result, report
}

// groundTruth collects what the stand-ins recorded of the work they did, and
// when instances were drained.
func groundTruth(c *cluster.Cluster) *score.Run {
	run := &score.Run{Classes: cluster.Classes(), CapacityTokensPerSecond: c.Capacity()}
	for _, e := range c.Engines {
		engine := score.Engine{Slots: e.Slots, Truth: e.Truth()}
		for _, m := range e.Models {
			engine.Models = append(engine.Models, id.Model(m))
		}
		run.Engines = append(run.Engines, engine)
	}
	for _, s := range c.Services {
		run.Services = append(run.Services, s.Truth())
	}
	for _, n := range c.Nodes() {
		if started, ended := n.DrainTimes(); !started.IsZero() {
			run.Drains = append(run.Drains, score.Drain{Entry: n.URL(), Started: started, Ended: ended})
		}
	}
	return run
}

// showProgress writes one line each second until the returned function is
// called.
func (e *Experiment) showProgress(r *load.Runner) func() {
	if e.Progress == nil {
		return func() {}
	}
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		ticker := time.NewTicker(progressInterval)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
				sent, ended := r.Progress()
				fmt.Fprintf(e.Progress, "sent %d, ended %d\n", sent, ended)
			}
		}
	}()
	return func() {
		close(stop)
		<-stopped
	}
}
