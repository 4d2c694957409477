package cluster

import (
	"samphirehead/bench/load"
	"samphirehead/config"
	"samphirehead/standin/engine"
	"samphirehead/standin/service"
	"samphirehead/state/id"
	"samphirehead/state/manifest"
)

const instanceCount = 4

// Names of classes, models and the service in the sample manifest.
const (
	Question     id.Class   = "juror_question"
	Registration id.Class   = "registration"
	Notes        id.Class   = "streamed_notes"
	Status       id.Class   = "status_lookup"
	Dossier      id.Class   = "dossier_read"
	NotesModel   id.Model   = "notes"
	DossierModel id.Model   = "dossier"
	entryDesk    id.Service = "entry-desk"
)

func failureDomains() []id.FailureDomain {
	return []id.FailureDomain{"doto-east", "doto-central", "doto-west"}
}

// sampleManifest returns config/trust.yaml, which is embedded in the binary.
func sampleManifest() *manifest.Manifest {
	m, err := manifest.Parse("trust.yaml", config.Trust())
	if err != nil {
		panic(err)
	}
	return m
}

// Workspaces returns the workspaces of the sample manifest, weighted by how much
// of the load each sends. The first two are large.
func Workspaces() []load.Weight {
	large := map[id.Workspace]float64{"kushiro-jury": 6, "obihiro-jury": 4}
	var weights []load.Weight
	for _, w := range sampleManifest().Workspaces {
		weights = append(weights, load.Weight{Workspace: w.Name, Weight: max(large[w.Name], 1)})
	}
	return weights
}

// Key returns the bearer key of a workspace. The keys of the sample manifest are
// public.
func Key(w id.Workspace) string { return "sample-trust-" + string(w) }

// Keys returns the bearer keys of all workspaces.
func Keys() map[id.Workspace]string {
	keys := map[id.Workspace]string{}
	for _, w := range Workspaces() {
		keys[w.Workspace] = Key(w.Workspace)
	}
	return keys
}

// Classes returns the classes of the sample manifest.
func Classes() []manifest.Class { return sampleManifest().Classes }

// newEngines returns a stand-in for each engine of the sample manifest.
func newEngines() []*engine.Engine {
	var engines []*engine.Engine
	for _, u := range sampleManifest().Upstreams {
		if u.Kind != manifest.KindEngine {
			continue
		}
		e := &engine.Engine{
			Address:                "127.0.0.1:0",
			Slots:                  u.Capacity.Slots,
			DecodeTokensPerSecond:  u.Capacity.DecodeTokensPerSecond,
			PrefillTokensPerSecond: u.Capacity.PrefillTokensPerSecond,
			KVTokens:               int(u.Capacity.KVTokens),
		}
		for _, m := range u.Models {
			e.Models = append(e.Models, string(m))
		}
		engines = append(engines, e)
	}
	return engines
}

// newServices returns a stand-in for each service worker of the sample manifest.
func newServices() []*service.Service {
	var services []*service.Service
	for _, u := range sampleManifest().Upstreams {
		if u.Kind == manifest.KindService {
			services = append(services, &service.Service{Address: "127.0.0.1:0", Slots: u.Capacity.Slots})
		}
	}
	return services
}

// newManifest returns the sample manifest with the addresses of the running
// stand-ins, which are in the order of its upstreams.
func newManifest(engines []*engine.Engine, services []*service.Service) *manifest.Manifest {
	m := sampleManifest()
	for i := range m.Upstreams {
		u := &m.Upstreams[i]
		if u.Kind == manifest.KindEngine {
			u.Address, engines = engines[0].Addr(), engines[1:]
			continue
		}
		u.Address, services = services[0].Addr(), services[1:]
	}
	return m
}

// Streams returns the steady load: one stream for each class, together a little
// under half of the engines' capacity.
func Streams() []load.Stream {
	streams := make([]load.Stream, 0, len(Classes()))
	for _, c := range Classes() {
		s := load.Stream{
			Class: c.Name, Tier: c.Tier, FirstToken: c.FirstToken, BetweenTokens: c.BetweenTokens,
			Timeout: c.TotalDeadline, Workspaces: Workspaces(),
		}
		fillStream(&s)
		streams = append(streams, s)
	}
	return streams
}

func fillStream(s *load.Stream) {
	switch s.Class {
	case Question:
		s.PerSecond, s.Model = 100, NotesModel
		s.AnswerTokens = load.Lengths{Median: 14, Sigma: 0.5, Max: 64}
		s.PromptTokens = load.Lengths{Median: 100, Sigma: 0.5, Max: 1000}
	case Registration:
		s.PerSecond, s.Service, s.Method, s.Path, s.AtMostOnce = 15, entryDesk, "POST", "/registrations", true
	case Notes:
		s.PerSecond, s.Model, s.SharedPrefix = 20, NotesModel, 0.5
		s.AnswerTokens = load.Lengths{Median: 50, Sigma: 0.6, Max: 300}
		s.PromptTokens = load.Lengths{Median: 600, Sigma: 0.5, Max: 4000}
	case Status:
		s.PerSecond, s.Service, s.Method, s.Path = 30, entryDesk, "GET", "/status/*"
	case Dossier:
		s.PerSecond, s.Model, s.SharedPrefix = 4, DossierModel, 0.5
		s.AnswerTokens = load.Lengths{Median: 200, Sigma: 0.6, Max: 800}
		s.PromptTokens = load.Lengths{Median: 4000, Sigma: 0.4, Max: 12000}
	}
}
