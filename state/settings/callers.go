package settings

import (
	"cmp"
	"time"
)

// CallerLimits bound what callers use of an instance. A zero value sets no bound, apart from
// those that are derived from others.
type CallerLimits struct {
	// MemoryBytes bounds the memory of the connections and requests of all callers
	// together; 0 stands for a part of Router.MemoryBytes.
	MemoryBytes int64 `yaml:"memory_bytes,omitempty"`
	// MaxConnections bounds the connections of callers; 0 stands for a part of the
	// descriptors of the process.
	MaxConnections int `yaml:"max_connections,omitempty"`
	// MaxPromptParts bounds the parts of a prompt that a request lists, beside the bytes of
	// its head.
	MaxPromptParts int `yaml:"max_prompt_parts,omitempty"`
	// ConsideredPromptParts is how many parts of a prompt the choice of an upstream considers;
	// the tokens of those beyond count for the last one. 0 stands for the default.
	ConsideredPromptParts int `yaml:"considered_prompt_parts,omitempty"`
	// ReceiveBuffer is the size in bytes of the kernel's buffer for what a caller has sent
	// and the instance has not read; 0 leaves it to the kernel. Callers far away send long
	// bodies faster if it is larger.
	ReceiveBuffer int `yaml:"receive_buffer"`
	// BodyGrace is how long the body of a request may take, and MinBodyRate how many bytes
	// a second have to arrive if it takes longer.
	BodyGrace   time.Duration `yaml:"body_grace"`
	MinBodyRate int64         `yaml:"min_body_rate"`
	// ReadTimeout bounds how long a caller takes to read each 64 KiB of an answer.
	ReadTimeout time.Duration `yaml:"read_timeout"`
	// StreamReadTimeout is the same for a stream, whose upstream waits meanwhile.
	StreamReadTimeout time.Duration `yaml:"stream_read_timeout"`
}

// The limits that apply if the file sets none.
const (
	DefaultReceiveBuffer = 16 << 10
	DefaultBodyGrace     = 10 * time.Second
	DefaultMinBodyRate   = 256
	DefaultReadTimeout   = 15 * time.Second

	DefaultConsideredPromptParts = 16

	DefaultStreamReadTimeout = 4 * time.Second
)

// DefaultCallerLimits returns the limits that apply if the file sets none.
func DefaultCallerLimits() CallerLimits {
	return CallerLimits{
		ReceiveBuffer: DefaultReceiveBuffer, BodyGrace: DefaultBodyGrace, MinBodyRate: DefaultMinBodyRate,
		ReadTimeout: DefaultReadTimeout, StreamReadTimeout: DefaultStreamReadTimeout,
	}
}

// ConsideredParts returns how many parts of a prompt the choice of an upstream considers.
func (l CallerLimits) ConsideredParts() int {
	return cmp.Or(l.ConsideredPromptParts, DefaultConsideredPromptParts)
}

func (c *checker) checkCallerLimits(l CallerLimits) {
	for field, value := range map[string]int64{
		"memory_bytes": l.MemoryBytes, "max_connections": int64(l.MaxConnections), "max_prompt_parts": int64(l.MaxPromptParts),
		"considered_prompt_parts": int64(l.ConsideredPromptParts),
		"body_grace":              int64(l.BodyGrace), "min_body_rate": l.MinBodyRate, "receive_buffer": int64(l.ReceiveBuffer), "read_timeout": int64(l.ReadTimeout),
		"stream_read_timeout": int64(l.StreamReadTimeout),
	} {
		if value < 0 {
			c.fault("caller_limits."+field, "want at least 0")
		}
	}
}
