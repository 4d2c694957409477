package commands

import (
	"io"
	"log/slog"

	"k8s.io/klog/v2"

	"samphirehead/state/settings"
)

// setLogging sends klog's output to w as JSON lines.
func setLogging(w io.Writer, level settings.LogLevel) {
	options := &slog.HandlerOptions{Level: slogLevel(level)}
	klog.SetSlogLogger(slog.New(slog.NewJSONHandler(w, options)))
}

func slogLevel(level settings.LogLevel) slog.Level {
	switch level {
	case settings.LogDebug:
		// klog.V(n) writes at level -n.
		return slog.LevelDebug
	case settings.LogWarning:
		return slog.LevelWarn
	case settings.LogError:
		return slog.LevelError
	default:
		return slog.LevelInfo
	}
}
