// Package framing tells how a response over HTTP marks its end.
package framing

import "net/http"

// Framing is how a response marks its end.
type Framing string

// The framings.
const (
	// Length is a Content-Length.
	Length Framing = "length"
	// Chunked is a chunked transfer encoding, or the frames of HTTP/2.
	Chunked Framing = "chunked"
	// Connection is the end of the connection, for lack of the others. A
	// response that its sender broke off may look complete.
	Connection Framing = "connection"
)

// Of returns the framing of a response.
func Of(r *http.Response) Framing {
	switch {
	case r.ContentLength >= 0:
		return Length
	case len(r.TransferEncoding) > 0 || r.ProtoMajor > 1:
		return Chunked
	}
	return Connection
}
