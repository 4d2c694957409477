package commands

import (
	"flag"
	"io"
	"log/slog"
	"strconv"

	"k8s.io/klog/v2"

	"samphirehead/state/settings"
)

// debugVerbosity is the level of klog.V whose lines are written for debugging.
const debugVerbosity = 2

// setLogging sends klog's output to w as JSON lines.
func setLogging(w io.Writer, level settings.LogLevel) {
	options := &slog.HandlerOptions{Level: slogLevel(level)}
	klog.SetSlogLogger(slog.New(slog.NewJSONHandler(w, options)))
	if level != settings.LogDebug {
		return
	}
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	// The flag exists and takes any number.
	_ = flags.Set("v", strconv.Itoa(debugVerbosity))
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
