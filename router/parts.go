package router

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"samphirehead/coordination/balancer"
)

// maxPartNameBytes bounds the names of parts. A longer one is replaced by its hash.
const maxPartNameBytes = 64

// hasTooManyParts reports whether the request lists more parts of its prompt than allowed.
func (j *job) hasTooManyParts() bool {
	limit := j.router.Settings.CallerLimits.MaxPromptParts
	return limit > 0 && len(j.Parts) > limit
}

// boundParts returns the parts of a prompt with at most limit ones, so that a request costs a
// bounded amount of work: the tokens of the parts beyond count for the last one.
func boundParts(parts []balancer.Part, limit int) []balancer.Part {
	if len(parts) > limit {
		last := parts[len(parts)-1]
		for _, beyond := range parts[limit-1 : len(parts)-1] {
			last.Tokens += beyond.Tokens
		}
		parts = append(parts[:limit-1:limit-1], last)
	}
	for i, part := range parts {
		if len(part.Name) > maxPartNameBytes {
			parts[i].Name = strconv.FormatUint(xxhash.Sum64String(part.Name), 16)
		}
	}
	return parts
}
