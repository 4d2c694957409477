package instance

import (
	"context"
	"expvar"
	"net/http"
	"slices"
	"strings"
	"time"

	"samphirehead/coordination/membership"
	wire "samphirehead/protocol/peer"
	"samphirehead/state/fault"
	"samphirehead/state/id"
	"samphirehead/transport/operator"
)

const statusTimeout = time.Second

// operatorBackend handles the requests of the operators' server.
type operatorHandler Instance

var _ operator.RequestHandler = (*operatorHandler)(nil)

// Status queries all members concurrently.
func (h *operatorHandler) Status(ctx context.Context) ([]operator.InstanceStatus, error) {
	i := (*Instance)(h)
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	records := i.members.Records()
	statuses := make(chan operator.InstanceStatus, len(records))
	for _, r := range records {
		go func() { statuses <- i.statusOf(ctx, r) }()
	}
	out := make([]operator.InstanceStatus, 0, len(records))
	for range records {
		out = append(out, <-statuses)
	}
	slices.SortFunc(out, func(a, b operator.InstanceStatus) int {
		return strings.Compare(string(a.Instance), string(b.Instance))
	})
	return out, nil
}

func (i *Instance) statusOf(ctx context.Context, r membership.Record) operator.InstanceStatus {
	status := operator.InstanceStatus{
		Instance:        r.Instance,
		FailureDomain:   r.FailureDomain,
		State:           stateOf(r),
		ManifestVersion: r.Manifest,
	}
	if r.State == membership.Dead {
		return status
	}
	response, err := i.control(r).Status(ctx, &wire.StatusRequest{Stamp: i.stamp()})
	if err != nil {
		status.State = operator.StateUnreachable
		return status
	}
	status.ManifestVersion = id.ManifestVersion(response.GetStamp().GetManifestVersion())
	status.InFlight = int(response.InFlight)
	if response.ManifestTakenUnixUs > 0 {
		status.ManifestActivatedAt = time.UnixMicro(response.ManifestTakenUnixUs)
	}
	for _, q := range response.Queued {
		status.Queued = append(status.Queued, operator.ClassQueue{Class: id.Class(q.Class), Requests: int(q.Requests)})
	}
	return status
}

// control returns the control service of a member. For this instance it calls
// the server directly, without the network.
func (i *Instance) control(r membership.Record) wire.Control {
	if r.Instance == i.Settings.Instance {
		return (*controlServer)(i)
	}
	return i.clients.Control(r.PeerAddress)
}

func stateOf(r membership.Record) operator.InstanceState {
	switch {
	case r.State == membership.Dead:
		return operator.StateUnreachable
	case r.State == membership.Leaving:
		return operator.StateLeaving
	case r.State == membership.Suspect:
		return operator.StateSuspected
	case r.Manifest == 0:
		return operator.StateStarting
	default:
		return operator.StateLive
	}
}

// Drain asks a member to drain.
func (h *operatorHandler) Drain(ctx context.Context, instance id.Instance) error {
	i := (*Instance)(h)
	for _, r := range i.members.Records() {
		if r.Instance != instance || r.State == membership.Dead {
			continue
		}
		_, err := i.control(r).Drain(ctx, &wire.DrainRequest{Stamp: i.stamp()})
		return fault.Wrap("drain", string(instance), err)
	}
	return operator.ErrUnknownInstance
}

// metricsHandler serves the metrics of this instance, and the variables that the
// process publishes with expvar.
func (i *Instance) metricsHandler() http.Handler {
	vars := new(expvar.Map).Init()
	vars.Set("samphirehead", i.registry.Var())
	expvar.Do(func(kv expvar.KeyValue) { vars.Set(kv.Key, kv.Value) })
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		// A write fails only if the operator has disconnected.
		_, _ = w.Write([]byte(vars.String()))
	})
}
