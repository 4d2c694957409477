package commands

import (
	"bytes"
	"flag"
	"io"
	"log"
	"log/slog"
	"strconv"

	"k8s.io/klog/v2"

	"samphirehead/state/settings"
)

// debugVerbosity is the level of klog.V whose lines are written for debugging.
const debugVerbosity = 2

// SetLogging sends klog's lines of a level and above to w, as JSON, each with
// some keys and values.
func SetLogging(w io.Writer, level settings.LogLevel, keysAndValues ...any) {
	options := &slog.HandlerOptions{Level: slogLevel(level), ReplaceAttr: replaceDebugLevel}
	klog.SetSlogLogger(slog.New(slog.NewJSONHandler(w, options)).With(keysAndValues...))
	verbosity := 0
	if level == settings.LogDebug {
		verbosity = debugVerbosity
	}
	log.SetFlags(0)
	log.SetOutput(standardLogWriter{})
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	// The flag exists and takes any number.
	_ = flags.Set("v", strconv.Itoa(verbosity))
}

// plainLevel writes DEBUG for the levels of klog.V, which slog would write as
// DEBUG+3.
func replaceDebugLevel(_ []string, a slog.Attr) slog.Attr {
	if level, ok := a.Value.Any().(slog.Level); ok && a.Key == slog.LevelKey && level < slog.LevelInfo {
		a.Value = slog.StringValue(slog.LevelDebug.String())
	}
	return a
}

func slogLevel(level settings.LogLevel) slog.Level {
	switch level {
	case settings.LogDebug:
		// Lines of klog.V(n) have level -n.
		return slog.Level(-debugVerbosity)
	case settings.LogWarning:
		return slog.LevelWarn
	case settings.LogError:
		return slog.LevelError
	default:
		return slog.LevelInfo
	}
}

// libraryLog takes what libraries write to the standard logger.
type standardLogWriter struct{}

// quoted is where net/http begins to quote bytes that a peer sent. They are
// part of an answer, which is not logged.
var quoteMarker = []byte("starting with")

func (standardLogWriter) Write(text []byte) (int, error) {
	message, _, _ := bytes.Cut(text, quoteMarker)
	klog.InfoS("library message", "text", string(bytes.TrimSpace(message)))
	return len(text), nil
}
