// Package bound limits the bytes of responses that a client reads. A faulty server
// may send bytes without end.
package bound

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"samphirehead/transport/framing"
)

// MaxHeaderBytes bounds the head of a response, with all informational responses
// before it. Clients set it as http.Transport.MaxResponseHeaderBytes.
const MaxHeaderBytes = 64 << 10

// ErrTooLong means that the body of a response exceeds its limit.
var ErrTooLong = errors.New("response too long")

// ErrUnframed means that a response has neither a length nor chunks.
var ErrUnframed = errors.New("response ends with its connection")

// ErrMemory means that the responses being read use up the memory for them.
var ErrMemory = errors.New("no memory left for the response")

// Transport is an http.RoundTripper whose bodies return ErrTooLong after MaxBytes. Its
// fields must be set before the first use.
type Transport struct {
	Next     http.RoundTripper
	MaxBytes int64
	// FramedOnly makes RoundTrip return ErrUnframed for a response of which a part
	// would look complete.
	FramedOnly bool
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.Next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if t.FramedOnly && framing.Of(response) == framing.Connection {
		return nil, errors.CombineErrors(ErrUnframed, response.Body.Close())
	}
	response.Body = &body{ReadCloser: response.Body, left: t.MaxBytes}
	return response, nil
}

// body is the body of a response that may be read up to a limit.
type body struct {
	io.ReadCloser
	// left is how many bytes may still be read.
	left int64
}

// Read returns ErrTooLong if the body is longer than its limit.
func (b *body) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	// One byte more than allowed shows that the body goes on.
	if int64(len(p)) > b.left+1 {
		p = p[:b.left+1]
	}
	n, err := b.ReadCloser.Read(p)
	if int64(n) > b.left {
		n, err = int(b.left), ErrTooLong
	}
	b.left -= int64(n)
	return n, err
}
