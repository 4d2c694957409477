package forward

import (
	"io"
	"sync"
)

// requestBody is the body of a request. It forgets the bytes when it is closed, as net/http
// keeps it until the answer has ended.
type requestBody struct {
	mu   sync.Mutex
	data []byte
}

// Read reads the body.
func (b *requestBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.data) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.data)
	b.data = b.data[n:]
	return n, nil
}

// Close forgets the bytes.
func (b *requestBody) Close() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.data = nil
	return nil
}
