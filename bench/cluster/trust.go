package cluster

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"samphirehead/bench/load"
	"samphirehead/standin/engine"
	"samphirehead/standin/service"
	"samphirehead/state/id"
	"samphirehead/state/manifest"
)

// The sizes of the Trust.
const (
	instanceCount  = 4
	engineCount    = 20
	firstDossier   = 12
	serviceCount   = 3
	engineSlots    = 8
	engineDecode   = 400
	enginePrefill  = 8000
	engineKVTokens = 65536
	serviceSlots   = 16
)

// The names of classes, models and the service.
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

// Workspaces lists the workspaces with their shares of the load; the first two
// are large.
func Workspaces() []load.Weight {
	weights := []load.Weight{{Workspace: "kushiro-jury", Weight: 6}, {Workspace: "obihiro-jury", Weight: 4}}
	small := []id.Workspace{"entry-desk-staff", "archive", "troupe-nemuro", "troupe-abashiri",
		"troupe-kitami", "troupe-akkeshi", "troupe-shibetsu", "troupe-tokachi"}
	for _, w := range small {
		weights = append(weights, load.Weight{Workspace: w, Weight: 1})
	}
	return weights
}

// Key is the bearer key of a workspace.
func Key(w id.Workspace) string { return "bench-" + string(w) }

// Keys returns the bearer keys of all workspaces.
func Keys() map[id.Workspace]string {
	keys := map[id.Workspace]string{}
	for _, w := range Workspaces() {
		keys[w.Workspace] = Key(w.Workspace)
	}
	return keys
}

// Classes returns the classes of the Trust.
func Classes() []manifest.Class {
	return []manifest.Class{
		{Name: Question, Tier: 1, FirstToken: 450 * time.Millisecond, BetweenTokens: 76 * time.Millisecond, TotalDeadline: 30 * time.Second, QueueBound: 512, LargestPrompt: 4096},
		{Name: Registration, Tier: 1, FirstToken: time.Second, TotalDeadline: 20 * time.Second, QueueBound: 256},
		{Name: Notes, Tier: 2, FirstToken: 800 * time.Millisecond, BetweenTokens: 100 * time.Millisecond, TotalDeadline: time.Minute, MinimumShare: 0.1, QueueBound: 512, LargestPrompt: 16384},
		{Name: Status, Tier: 3, FirstToken: 500 * time.Millisecond, TotalDeadline: 10 * time.Second, MinimumShare: 0.05, QueueBound: 256},
		{Name: Dossier, Tier: 4, FirstToken: 10 * time.Second, BetweenTokens: 500 * time.Millisecond, TotalDeadline: time.Minute, MinimumShare: 0.05, QueueBound: 256},
	}
}

func newEngines() []*engine.Engine {
	engines := make([]*engine.Engine, engineCount)
	for i := range engines {
		models := []string{string(NotesModel)}
		if i >= firstDossier {
			models = append(models, string(DossierModel))
		}
		engines[i] = &engine.Engine{
			Address:                "127.0.0.1:0",
			Models:                 models,
			Slots:                  engineSlots,
			DecodeTokensPerSecond:  engineDecode,
			PrefillTokensPerSecond: enginePrefill,
			KVTokens:               engineKVTokens,
			ChecksFencing:          i%2 == 0,
		}
	}
	return engines
}

func newServices() []*service.Service {
	services := make([]*service.Service, serviceCount)
	for i := range services {
		services[i] = &service.Service{Address: "127.0.0.1:0", Slots: serviceSlots}
	}
	return services
}

// newManifest describes the running stand-ins.
func newManifest(engines []*engine.Engine, services []*service.Service) *manifest.Manifest {
	m := &manifest.Manifest{
		Classes: Classes(),
		Models:  []manifest.Model{{Name: NotesModel, Version: "1"}, {Name: DossierModel, Version: "1"}},
		Services: []manifest.Service{{Name: entryDesk, Routes: []manifest.Route{
			{Method: "POST", Path: "/registrations", Semantics: manifest.AtMostOnce, Class: Registration},
			{Method: "GET", Path: "/status/*", Semantics: manifest.Idempotent, Class: Status},
		}}},
	}
	for _, w := range Workspaces() {
		digest := sha256.Sum256([]byte(Key(w.Workspace)))
		m.Workspaces = append(m.Workspaces, manifest.Workspace{
			Name:      w.Workspace,
			KeySHA256: []string{hex.EncodeToString(digest[:])},
			Classes:   []id.Class{Question, Notes, Dossier, Registration, Status},
		})
	}
	domains := failureDomains()
	for i, e := range engines {
		m.Upstreams = append(m.Upstreams, engineUpstream(e, i, domains[i%len(domains)]))
	}
	for i, s := range services {
		m.Upstreams = append(m.Upstreams, manifest.Upstream{
			Name: id.Upstream(fmt.Sprintf("entry-desk-%d", i+1)), Address: s.Addr(), FailureDomain: domains[i%len(domains)],
			Kind: manifest.KindService, Service: entryDesk, Capacity: manifest.Capacity{Slots: serviceSlots},
		})
	}
	return m
}

func engineUpstream(e *engine.Engine, i int, domain id.FailureDomain) manifest.Upstream {
	u := manifest.Upstream{
		Name: id.Upstream(fmt.Sprintf("engine-%02d", i+1)), Address: e.Addr(), FailureDomain: domain, Kind: manifest.KindEngine,
		Capacity: manifest.Capacity{
			Slots:                  e.Slots,
			PrefillTokensPerSecond: e.PrefillTokensPerSecond,
			DecodeTokensPerSecond:  e.DecodeTokensPerSecond,
			KVTokens:               id.Tokens(e.KVTokens),
		},
		ChecksFencing: e.ChecksFencing, Resumes: true,
	}
	for _, m := range e.Models {
		u.Models = append(u.Models, id.Model(m))
	}
	return u
}

// Streams returns the steady load, at about half of the engines' capacity.
func Streams() []load.Stream {
	streams := make([]load.Stream, 0, len(Classes()))
	for _, c := range Classes() {
		s := load.Stream{
			Class: c.Name, Tier: c.Tier, FirstToken: c.FirstToken, BetweenTokens: c.BetweenTokens,
			Patience: c.TotalDeadline, Workspaces: Workspaces(),
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
