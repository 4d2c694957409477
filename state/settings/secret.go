package settings

import (
	"crypto/subtle"
	"fmt"
	"io"
	"log/slog"
)

const redacted = "[redacted]"

// Secret is a shared secret. Printing, logging or encoding it yields a
// placeholder; Reveal returns the value.
type Secret string

// Format writes a placeholder for every verb. Without it a wrong verb, as in
// "%d", would print the value.
func (Secret) Format(state fmt.State, _ rune) { _, _ = io.WriteString(state, redacted) }

// String returns a placeholder.
func (Secret) String() string { return redacted }

// GoString returns a placeholder.
func (Secret) GoString() string { return redacted }

// MarshalText returns a placeholder, for JSON too.
func (Secret) MarshalText() ([]byte, error) { return []byte(redacted), nil }

// MarshalJSON returns a placeholder.
func (Secret) MarshalJSON() ([]byte, error) { return []byte(`"` + redacted + `"`), nil }

// MarshalYAML returns a placeholder.
func (Secret) MarshalYAML() (any, error) { return redacted, nil }

// MarshalLog returns a placeholder; klog's structured calls use it.
func (Secret) MarshalLog() any { return redacted }

// LogValue returns a placeholder.
func (Secret) LogValue() slog.Value { return slog.StringValue(redacted) }

// Reveal returns the secret itself, for a request's header.
func (s Secret) Reveal() string { return string(s) }

// Matches compares in constant time. An empty secret matches nothing.
func (s Secret) Matches(candidate string) bool {
	return s != "" && subtle.ConstantTimeCompare([]byte(s), []byte(candidate)) == 1
}
