package router

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"samphirehead/state/id"
)

const (
	// maxKeptIDBytes bounds the ids of requests that outlive the request, in memory, in messages
	// and in rows of the platform.
	maxKeptIDBytes = 32
	// plainIDChars are the characters of an id that no encoding lengthens.
	plainIDChars = "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ-_."
)

// keptID returns the id under which a request is remembered: its own, or a hash of one that is
// long or has other characters than usual ones. Callers choose ids.
func keptID(request id.Request) id.Request {
	if len(request) <= maxKeptIDBytes && strings.Trim(string(request), plainIDChars) == "" {
		return id.Request(strings.Clone(string(request)))
	}
	digest := sha256.Sum256([]byte(request))
	return id.Request(hex.EncodeToString(digest[:maxKeptIDBytes/2]))
}
