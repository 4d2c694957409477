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

// debugVerbosity is the highest klog.V level that is logged at settings.LogDebug.
const debugVerbosity = 2

// SetLogging makes klog write lines of at least the given level to w as JSON, each
// with keysAndValues added. What libraries write to the standard logger goes
// through klog, too. It changes global state: the last call wins.
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
	// Setting v can't fail: klog defines the flag, and the value is an integer.
	_ = flags.Set("v", strconv.Itoa(verbosity))
}

// replaceDebugLevel writes every level below INFO as DEBUG. klog.V(1) has the slog
// level -1, which slog would write as DEBUG+3.
func replaceDebugLevel(_ []string, a slog.Attr) slog.Attr {
	if level, ok := a.Value.Any().(slog.Level); ok && a.Key == slog.LevelKey && level < slog.LevelInfo {
		a.Value = slog.StringValue(slog.LevelDebug.String())
	}
	return a
}

func slogLevel(level settings.LogLevel) slog.Level {
	switch level {
	case settings.LogDebug:
		// klog.V(n) logs at the slog level -n.
		return slog.Level(-debugVerbosity)
	case settings.LogWarning:
		return slog.LevelWarn
	case settings.LogError:
		return slog.LevelError
	default:
		return slog.LevelInfo
	}
}

// standardLogWriter forwards to klog what libraries write to the standard logger.
type standardLogWriter struct{}

// quoteMarker precedes the bytes of a response that net/http quotes in its log
// messages. Contents of responses must not be logged, so the message is cut here.
var quoteMarker = []byte("starting with")

func (standardLogWriter) Write(text []byte) (int, error) {
	message, _, _ := bytes.Cut(text, quoteMarker)
	klog.InfoS("library message", "text", string(bytes.TrimSpace(message)))
	return len(text), nil
}
