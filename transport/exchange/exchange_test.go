package exchange_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

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
