package forward_test

import (
	"errors"
	"io"
	"regexp"
	"strings"
	"testing"
	"testing/iotest"

	"samphirehead/transport/bound"
	"samphirehead/transport/forward"
)

// collect reads events until an error. It returns their bytes and the last id.
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
		stream string
		// end is the error of reading the stream after its last byte.
		end          error
		data, lastID string
	}{
		"whole":                        {two, io.EOF, two, "2"},
		"carriage returns":             {"id: 7\r\ndata: a\r\n\r\n", io.EOF, "id: 7\r\ndata: a\r\n\r\n", "7"},
		"only carriage returns":        {"id: 7\rdata: a\r\rid: 8\rdata: b\r\r", io.EOF, "id: 7\rdata: a\r\rid: 8\rdata: b\r\r", "8"},
		"mixed line ends":              {"id: 7\rdata: a\n\r\n\nid: 8\r\n\r", io.EOF, "id: 7\rdata: a\n\r\n\nid: 8\r\n\r", "8"},
		"connection reset in an event": {two + "id: 3\nda", resetErr, two, "2"},
		"truncated in an event":        {two + "id: 3\nda", io.ErrUnexpectedEOF, two, "2"},
		"ended in an event":            {two + "id: 3\nda", io.EOF, two, "2"},
		"ended before the blank line":  {two + "id: 3\ndata: c\n", io.EOF, two, "2"},
		"ended after text":             {"rest", io.EOF, "", ""},
		"blank lines at the end":       {two + "\n\r\n", io.EOF, two + "\n\r\n", "2"},
		"event without id":             {two + "data: c\n\n", io.EOF, two + "data: c\n\n", "2"},
		"empty":                        {"", io.EOF, "", ""},
	} {
		for mode, reader := range map[string]io.Reader{
			"at once":      io.MultiReader(strings.NewReader(c.stream), iotest.ErrReader(c.end)),
			"byte by byte": iotest.OneByteReader(io.MultiReader(strings.NewReader(c.stream), iotest.ErrReader(c.end))),
		} {
			data, lastID, err := collect(reader)
			want := c.end
			if c.data != c.stream && errors.Is(c.end, io.EOF) {
				want = io.ErrUnexpectedEOF
			}
			if data != c.data || lastID != c.lastID || !errors.Is(err, want) {
				t.Errorf("%s, %s: %q, last id %q, %v", name, mode, data, lastID, err)
			}
		}
	}
}

// Guards against an answer that broke off after its head being taken for an empty
// stream: without a length or chunks, only an event shows that it is whole.
func TestUnframedStreamHasAnEvent(t *testing.T) {
	for stream, want := range map[string]error{"": io.ErrUnexpectedEOF, "\n": io.ErrUnexpectedEOF, "data: a\n\n": io.EOF} {
		events := forward.EventReader{Body: strings.NewReader(stream), Unframed: true}
		var err error
		for err == nil {
			_, _, err = events.Next()
		}
		if !errors.Is(err, want) {
			t.Errorf("%q: %v, want %v", stream, err, want)
		}
	}
}

// Guards against whole events that wait for the next ones: an event is returned as
// soon as its blank line is there, whatever bytes end its lines.
func TestEventIsReturnedAtItsBlankLine(t *testing.T) {
	for _, event := range []string{
		"id: 1\ndata: a\n\n", "id: 1\r\ndata: a\r\n\r\n", "id: 1\rdata: a\r\r", "id: 1\ndata: a\n\r\n", "id: 1\r\ndata: a\n\n",
	} {
		events := forward.EventReader{Body: io.MultiReader(strings.NewReader(event), endlessReader{})}
		if data, lastID, err := events.Next(); string(data) != event || lastID != "1" || err != nil {
			t.Errorf("%q became %q, id %q, %v", event, data, lastID, err)
		}
	}
}

// Bytes with separators of events but no fields are rejected. What comes before
// them is returned.
func TestBytesThatAreNoEvents(t *testing.T) {
	const event = "id: 1\ndata: a\n\n"
	for name, stream := range map[string]string{
		"text":            "not found\n\n",
		"answer":          "HTTP/1.1 200 OK\r\nServer: x\r\n\r\n",
		"after an event":  event + "text\n\n",
		"before an event": "text\n\n" + event,
	} {
		data, _, err := collect(iotest.OneByteReader(strings.NewReader(stream)))
		if !errors.Is(err, forward.ErrNotEvents) || !strings.HasPrefix(stream, data) {
			t.Errorf("%s: %q, %v", name, data, err)
		}
	}
	for _, stream := range []string{": comment\n\n", "weight-versions: 3\nid: 1\ndata: a\n\n", "retry: 1\n\n", "data\n\n"} {
		if data, _, err := collect(strings.NewReader(stream)); data != stream || !errors.Is(err, io.EOF) {
			t.Errorf("%q became %q, %v", stream, data, err)
		}
	}
}

// An event near the size limit that arrives in small parts is scanned once.
func TestLongEventInSmallParts(t *testing.T) {
	event := "data: " + strings.Repeat("x", 200<<10) + "\n\n"
	if data, _, err := collect(iotest.OneByteReader(strings.NewReader(event))); data != event || !errors.Is(err, io.EOF) {
		t.Errorf("%d bytes, %v", len(data), err)
	}
}

// eventField matches a line with a field that events have, or a comment.
const eventField = `^(:|(id|data|event|retry)(:|$))`

// withNewlines returns a stream whose lines all end with "\n".
func withNewlines(stream string) string {
	return strings.NewReplacer("\r\n", "\n", "\r", "\n").Replace(stream)
}

// hasBlockWithoutField reports whether lines between blank ones have no field that
// events have.
func hasBlockWithoutField(stream string) bool {
	field := regexp.MustCompile(eventField)
	lines, fields := 0, 0
	for line := range strings.SplitSeq(withNewlines(stream)+"\n\n", "\n") {
		if line != "" {
			lines++
			fields += len(field.FindAllString(line, 1))
			continue
		}
		if lines > 0 && fields == 0 {
			return true
		}
		lines, fields = 0, 0
	}
	return false
}

// splitAtLastEvent returns the lines of a stream up to the blank line after its last
// event, and those after it.
func splitAtLastEvent(stream string) (events, rest string) {
	stream = withNewlines(stream)
	end := strings.LastIndex(stream, "\n\n")
	if end < 0 {
		return "", stream
	}
	return stream[:end], stream[end:]
}

// blankLines are the bytes of lines without content.
const blankLines = "\r\n"

func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\n")
	f.Add("\r\n\r\n\n\n")
	f.Fuzz(func(t *testing.T, stream string) {
		data, _, err := collect(iotest.HalfReader(strings.NewReader(stream)))
		events, rest := splitAtLastEvent(stream)
		switch {
		case hasBlockWithoutField(events):
			if !errors.Is(err, forward.ErrNotEvents) || !strings.HasPrefix(stream, data) {
				t.Errorf("%q became %q, %v", stream, data, err)
			}
		case strings.Trim(rest, blankLines) != "":
			whole := strings.TrimRight(withNewlines(data), blankLines) == strings.TrimRight(events, blankLines)
			if !errors.Is(err, io.ErrUnexpectedEOF) || !strings.HasPrefix(stream, data) || !whole {
				t.Errorf("%q became %q, %v", stream, data, err)
			}
		case data != stream || !errors.Is(err, io.EOF):
			t.Errorf("%q became %q, %v", stream, data, err)
		}
	})
}

// endlessReader returns bytes without a line end, so that no event is complete.
type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}

func TestOverlongEventIsRejected(t *testing.T) {
	events := forward.EventReader{Body: endlessReader{}}
	if _, _, err := events.Next(); !errors.Is(err, bound.ErrTooLong) {
		t.Errorf("error %v", err)
	}
}

// If an answer exceeds the limit, its first part must not be returned as if it
// were complete.
func TestOverlongAnswerIsRejected(t *testing.T) {
	response := forward.Response{Body: io.NopCloser(endlessReader{})}
	if _, err := response.ReadWhole(); !errors.Is(err, bound.ErrTooLong) {
		t.Errorf("error %v", err)
	}
}
