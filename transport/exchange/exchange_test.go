package exchange_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	wire "samphirehead/protocol/exchange"
	"samphirehead/transport/exchange"
)

// A peer that sends bytes without end makes a call fail.
func TestEndlessResponseOfPeer(t *testing.T) {
	part := []byte(strings.Repeat("x", 64<<10))
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/protobuf")
		for {
			if _, err := w.Write(part); err != nil {
				return
			}
		}
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	client := &exchange.Client{Secret: "secret"}
	if _, err := client.Swap(t.Context(), address, &wire.State{}); err == nil {
		t.Error("an endless state gave no error")
	}
	if _, err := client.Fetch(t.Context(), address, &wire.FetchRequest{}); err == nil {
		t.Error("an endless table gave no error")
	}
}

// Guards against part of a table being taken for a whole one: a peer that breaks off a
// response without a length or chunks leaves bytes that decode.
func TestUnframedResponseOfPeer(t *testing.T) {
	whole, err := proto.Marshal(&wire.FetchResponse{Rows: []*wire.Row{{Key: "a"}, {Key: "b"}}})
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		connection, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\n\r\n"+string(whole[:len(whole)/2]))
		_ = connection.Close()
	}))
	defer server.Close()
	client := &exchange.Client{Secret: "secret"}
	if response, err := client.Fetch(t.Context(), strings.TrimPrefix(server.URL, "http://"), &wire.FetchRequest{}); err == nil {
		t.Errorf("part of a table is taken as %v", response)
	}
}
