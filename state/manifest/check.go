package manifest

import (
	"fmt"
	"regexp"
	"time"

	"samphirehead/state/document"
	"samphirehead/state/id"
)

// LowestTier is the tier of the lowest priority; tiers start at 1, the highest.
const LowestTier = 16

// shareTolerance absorbs rounding errors in the sum of the minimum shares.
const shareTolerance = 1e-9

// modelPattern matches the model names that model hubs use, such as
// "org/model:tag".
var modelPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_.:/-]{0,127}$`)

// checker validates a decoded manifest and records every fault that it finds.
type checker struct {
	document *document.Document
	manifest *Manifest

	classes  map[id.Class]bool
	models   map[id.Model]bool
	services map[id.Service]bool
}

func (c *checker) check() {
	c.collectNames()
	c.checkClasses()
	c.checkModels()
	c.checkServices()
	c.checkWorkspaces()
	c.checkUpstreams()
}

// collectNames collects the names that other sections may refer to, and records
// a fault for each name that a section uses twice.
func (c *checker) collectNames() {
	c.classes = uniqueNames(c, "classes", c.manifest.Classes, func(class Class) id.Class { return class.Name })
	c.models = uniqueNames(c, "models", c.manifest.Models, func(model Model) id.Model { return model.Name })
	c.services = uniqueNames(c, "services", c.manifest.Services, func(service Service) id.Service { return service.Name })
	uniqueNames(c, "workspaces", c.manifest.Workspaces, func(workspace Workspace) id.Workspace { return workspace.Name })
	uniqueNames(c, "upstreams", c.manifest.Upstreams, func(upstream Upstream) id.Upstream { return upstream.Name })
}

func uniqueNames[T any, N ~string](c *checker, section string, items []T, name func(T) N) map[N]bool {
	seen := make(map[N]bool, len(items))
	for i, item := range items {
		if n := name(item); n != "" && seen[n] {
			c.fault(fmt.Sprintf("%s[%d].name", section, i), "%q is used twice", n)
		}
		seen[name(item)] = true
	}
	return seen
}

// fault records a fault of a field unless it has one already, so that each field
// is reported once.
func (c *checker) fault(field, format string, args ...any) {
	if !c.document.HasFault(field) {
		c.document.AddFault(field, format, args...)
	}
}

func (c *checker) checkName(field, value string) {
	if err := document.CheckName(value); err != nil {
		c.fault(field, "%v", err)
	}
}

func (c *checker) checkNotEmpty(field string, length int) {
	if length == 0 {
		c.fault(field, "want at least one")
	}
}

func (c *checker) checkClasses() {
	classes := c.manifest.Classes
	c.checkNotEmpty("classes", len(classes))
	highest := highestTier(classes)
	sum := 0.0
	for i, class := range classes {
		field := fmt.Sprintf("classes[%d]", i)
		c.checkName(field+".name", string(class.Name))
		c.checkDurations(field, class)
		c.checkShare(field, class, highest)
		if class.Tier < 1 || class.Tier > LowestTier {
			c.fault(field+".tier", "want a tier from 1 to %d", LowestTier)
		}
		if class.QueueBound < 1 {
			c.fault(field+".queue_bound", "want at least 1")
		}
		if class.LargestPrompt < 0 {
			c.fault(field+".largest_prompt", "want 0 or more")
		}
		sum += class.MinimumShare
	}
	if sum > 1-shareTolerance {
		c.fault("classes", "the minimum shares add up to %.4g; want less than 1", sum)
	}
}

func highestTier(classes []Class) id.Tier {
	highest := id.Tier(LowestTier)
	for _, class := range classes {
		if class.Tier >= 1 {
			highest = min(highest, class.Tier)
		}
	}
	return highest
}

func (c *checker) checkDurations(field string, class Class) {
	c.checkPositiveDuration(field+".first_token", class.FirstToken)
	c.checkPositiveDuration(field+".total_deadline", class.TotalDeadline)
	if class.BetweenTokens < 0 {
		c.fault(field+".between_tokens", "want 0s or more")
	}
	if class.TotalDeadline > 0 && class.TotalDeadline < class.FirstToken {
		c.fault(field+".total_deadline", "want no less than first_token")
	}
}

func (c *checker) checkPositiveDuration(field string, value time.Duration) {
	if value <= 0 {
		c.fault(field, "want more than 0s")
	}
}

// checkShare requires a minimum share for every class below the highest tier:
// without one, strict priority could starve the class.
func (c *checker) checkShare(field string, class Class, highest id.Tier) {
	if class.MinimumShare < 0 || class.MinimumShare >= 1 {
		c.fault(field+".minimum_share", "want a share from 0 to less than 1")
	}
	if class.MinimumShare == 0 && class.Tier > highest {
		c.fault(field+".minimum_share", "want more than 0 below the highest tier, or the class may never be served")
	}
}

func (c *checker) checkModels() {
	for i, model := range c.manifest.Models {
		if !modelPattern.MatchString(string(model.Name)) {
			c.fault(fmt.Sprintf("models[%d].name", i), "want letters, digits and '_.:/-', at most 128, the first a letter or digit")
		}
	}
}

func (c *checker) checkUpstreams() {
	c.checkNotEmpty("upstreams", len(c.manifest.Upstreams))
	addresses := make(map[string]id.Upstream, len(c.manifest.Upstreams))
	for i, upstream := range c.manifest.Upstreams {
		field := fmt.Sprintf("upstreams[%d]", i)
		c.checkName(field+".name", string(upstream.Name))
		c.checkName(field+".failure_domain", string(upstream.FailureDomain))
		if err := document.CheckDialAddress(upstream.Address); err != nil {
			c.fault(field+".address", "%v", err)
		}
		if other, duplicate := addresses[upstream.Address]; duplicate {
			c.fault(field+".address", "%q has this address too", other)
		}
		addresses[upstream.Address] = upstream.Name
		c.checkKind(field, upstream)
	}
}

func (c *checker) checkKind(field string, upstream Upstream) {
	if upstream.Capacity.Slots < 1 {
		c.fault(field+".capacity.slots", "want at least 1")
	}
	switch upstream.Kind {
	case KindEngine:
		c.checkEngine(field, upstream)
	case KindService:
		c.checkServiceWorker(field, upstream)
	default:
		c.fault(field+".kind", "want %s or %s", KindEngine, KindService)
	}
}

func (c *checker) checkEngine(field string, upstream Upstream) {
	c.checkNotEmpty(field+".models", len(upstream.Models))
	seen := map[id.Model]bool{}
	for i, model := range upstream.Models {
		checkReference(c, fmt.Sprintf("%s.models[%d]", field, i), "model", model, c.models, seen)
	}
	if upstream.Service != "" {
		c.fault(field+".service", "want no service for an engine")
	}
	capacity := upstream.Capacity
	c.checkEngineRate(field+".capacity.prefill_tokens_per_second", capacity.PrefillTokensPerSecond)
	c.checkEngineRate(field+".capacity.decode_tokens_per_second", capacity.DecodeTokensPerSecond)
	if capacity.KVTokens < 1 {
		c.fault(field+".capacity.kv_tokens", "want at least 1 for an engine")
	}
}

func (c *checker) checkEngineRate(field string, value float64) {
	if value <= 0 {
		c.fault(field, "want more than 0 for an engine")
	}
}

func (c *checker) checkServiceWorker(field string, upstream Upstream) {
	checkReference(c, field+".service", "service", upstream.Service, c.services, nil)
	c.checkEngineOnly(field+".models", len(upstream.Models) > 0)
	c.checkEngineOnly(field+".resumes", upstream.Resumes)
	capacity := upstream.Capacity
	c.checkEngineOnly(field+".capacity.prefill_tokens_per_second", capacity.PrefillTokensPerSecond != 0)
	c.checkEngineOnly(field+".capacity.decode_tokens_per_second", capacity.DecodeTokensPerSecond != 0)
	c.checkEngineOnly(field+".capacity.kv_tokens", capacity.KVTokens != 0)
}

func (c *checker) checkEngineOnly(field string, present bool) {
	if present {
		c.fault(field, "only an engine can have this field")
	}
}

// checkReference checks that a reference names an item of the manifest and, if
// seen is not nil, that no earlier reference of the list names the same one.
func checkReference[N ~string](c *checker, field, kind string, name N, known, seen map[N]bool) {
	switch {
	case name == "":
		c.fault(field, "missing")
	case !known[name]:
		c.fault(field, "there is no %s %q", kind, name)
	case seen[name]:
		c.fault(field, "%q is listed twice", name)
	}
	if seen != nil {
		seen[name] = true
	}
}
