package instance_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestStrangersAreAnsweredBeforeTheirBody checks that the operators' and peers'
// listeners do not wait for the body of a request without their secret.
func TestUnauthenticatedRequestsAreRefusedBeforeTheirBody(t *testing.T) {
	f := newFixture(t, 8)
	for name, target := range map[string]struct{ address, path string }{
		"operators": {f.instance.OperatorAddr(), "/v1/manifest?base=0"},
		"peers":     {f.instance.PeerAddr(), "/twirp/samphirehead.peer.Member/Probe"},
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", target.address)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			// Only a listener that waits for the body gets near this.
			if err := conn.SetDeadline(time.Now().Add(readyTimeout)); err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: 100\r\n\r\nhalf", target.path)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			if resp.StatusCode != http.StatusUnauthorized {
				t.Errorf("status %d, want 401", resp.StatusCode)
			}
		})
	}
}
