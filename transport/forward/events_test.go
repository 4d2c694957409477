package forward_test

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"samphirehead/transport/forward"
)

// collect reads all whole events.
func collect(r io.Reader) (data, lastID string, err error) {
	events := forward.EventReader{Body: r}
	for {
		chunk, id, err := events.Next()
		if err != nil {
			return data, lastID, err
		}
		data += string(chunk)
		if id != "" {
			lastID = id
		}
	}
}

func TestEvents(t *testing.T) {
	const two = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	resetErr := errors.New("reset")
	for name, c := range map[string]struct {
		stream       string
		end          error
		data, lastID string
	}{
		"whole":                   {two, io.EOF, two, "2"},
		"carriage returns":        {"id: 7\r\ndata: a\r\n\r\n", io.EOF, "id: 7\r\ndata: a\r\n\r\n", "7"},
		"broken in an event":      {two + "id: 3\nda", resetErr, two, "2"},
		"cut short in an event":   {two + "id: 3\nda", io.ErrUnexpectedEOF, two, "2"},
		"complete without a line": {two + "data: end", io.EOF, two + "data: end", "2"},
		"event without id":        {two + "data: c\n\n", io.EOF, two + "data: c\n\n", "2"},
		"empty":                   {"", io.EOF, "", ""},
	} {
		for mode, reader := range map[string]io.Reader{
			"at once":      io.MultiReader(strings.NewReader(c.stream), iotest.ErrReader(c.end)),
			"byte by byte": iotest.OneByteReader(io.MultiReader(strings.NewReader(c.stream), iotest.ErrReader(c.end))),
		} {
			data, lastID, err := collect(reader)
			if data != c.data || lastID != c.lastID || !errors.Is(err, c.end) {
				t.Errorf("%s, %s: %q, last %q, %v", name, mode, data, lastID, err)
			}
		}
	}
}

func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\n")
	f.Add("\r\n\r\n\n\n")
	f.Fuzz(func(t *testing.T, stream string) {
		data, _, err := collect(iotest.HalfReader(strings.NewReader(stream)))
		if data != stream || !errors.Is(err, io.EOF) {
			t.Errorf("%q became %q, %v", stream, data, err)
		}
	})
}

// endless sends bytes that end no event.
type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}

func TestOverlongEventIsRejected(t *testing.T) {
	events := forward.EventReader{Body: endlessReader{}}
	if _, _, err := events.Next(); !errors.Is(err, forward.ErrTooLong) {
		t.Errorf("error %v", err)
	}
}

// A part of an answer that is too long is not taken for the whole.
func TestOverlongAnswerIsRejected(t *testing.T) {
	response := forward.Response{Body: io.NopCloser(endlessReader{})}
	if _, err := response.ReadWhole(); !errors.Is(err, forward.ErrTooLong) {
		t.Errorf("error %v", err)
	}
}
