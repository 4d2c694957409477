package caller_test

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"k8s.io/klog/v2"

	"samphirehead/protocol/answer"
	"samphirehead/transport/caller"
)

// completeAtOnce completes without generating an event.
func completeAtOnce(context.Context, caller.Sink) answer.Result { return answer.Completed{} }

func TestSlowBodiesTimeOut(t *testing.T) {
	for _, c := range []struct {
		name, key, code string
		status          int
		wantAfter       time.Duration
	}{
		{"known key", "key", "bad_request", http.StatusBadRequest, bodyTimeout},
		{"unknown key", "guess", "unauthorized", http.StatusUnauthorized, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			serve(t, &fakeHandler{generate: completeAtOnce}, func(dial func() net.Conn) {
				started := time.Now()
				client := dial()
				send(t, client, request(c.key, "{", maxBody))
				readReply(t, client).check(t, c.status, c.code, "not_run")
				if took := time.Since(started); took != c.wantAfter {
					t.Errorf("answered after %v, want %v", took, c.wantAfter)
				}
				if _, err := io.Copy(io.Discard, client); err != nil {
					t.Error(err)
				}
			})
		})
	}
}

// TestAnswerMayTakeLongerThanBodyTimeout checks that the read deadline for the
// body does not cancel a request that was received completely and whose answer
// takes longer.
func TestAnswerMayTakeLongerThanBodyTimeout(t *testing.T) {
	h := &fakeHandler{generate: func(ctx context.Context, _ caller.Sink) answer.Result {
		select {
		case <-ctx.Done():
			t.Error("the request was cancelled")
		case <-time.After(10 * bodyTimeout):
		}
		return answer.Completed{}
	}}
	for _, text := range []string{
		request("key", nonStreamingChat, len(nonStreamingChat)),
		"GET /v1/outcomes/k HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer key\r\n\r\n",
	} {
		serve(t, h, func(dial func() net.Conn) {
			client := dial()
			send(t, client, text)
			readReply(t, client).check(t, http.StatusOK, "", "completed")
		})
	}
}

// TestStalledReadersTimeOut checks that a generation ends when its caller stops
// reading, and goes on when the caller reads slowly.
func TestStalledReadersTimeOut(t *testing.T) {
	for _, c := range []struct {
		name    string
		pause   time.Duration
		wantAll bool
	}{
		{"reads every 15 s", 15 * time.Second, true},
		{"does not read", time.Hour, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			const events = 20
			delivered := 0
			h := &fakeHandler{generate: func(_ context.Context, sink caller.Sink) answer.Result {
				for range events {
					if sink.Deliver(contentEvent(100)) != nil {
						return answer.Unknown{Failure: answer.Failure{Reason: answer.ReasonCancelled}}
					}
					delivered++
				}
				return answer.Completed{}
			}}
			serve(t, h, func(dial func() net.Conn) {
				client := dial()
				send(t, client, request("key", streamChat, len(streamChat)))
				buf := make([]byte, 4<<10)
				for {
					time.Sleep(c.pause)
					n, err := client.Read(buf)
					if err != nil || strings.Contains(string(buf[:n]), "[DONE]") {
						break
					}
				}
			})
			if all := delivered == events; all != c.wantAll {
				t.Errorf("%d of %d events delivered", delivered, events)
			}
		})
	}
}

func TestBodiesAreBounded(t *testing.T) {
	serve(t, &fakeHandler{generate: completeAtOnce}, func(dial func() net.Conn) {
		client := dial()
		go func() { _, _ = io.WriteString(client, request("key", strings.Repeat("x", maxBody+1), maxBody+1)) }()
		readReply(t, client).check(t, http.StatusRequestEntityTooLarge, "too_large", "not_run")
	})
}

func TestConcurrencyIsBounded(t *testing.T) {
	release := make(chan struct{})
	h := &fakeHandler{generate: func(context.Context, caller.Sink) answer.Result {
		<-release
		return answer.Completed{}
	}}
	serve(t, h, func(dial func() net.Conn) {
		release = make(chan struct{})
		clients := []net.Conn{dial(), dial()}
		for _, c := range clients {
			send(t, c, request("key", nonStreamingChat, len(nonStreamingChat)))
		}
		synctest.Wait()
		third := dial()
		send(t, third, request("key", nonStreamingChat, len(nonStreamingChat)))
		got := readReply(t, third)
		got.check(t, http.StatusTooManyRequests, "overloaded", "not_run")
		if got.header.Get("Retry-After") != "1" {
			t.Errorf("Retry-After %q", got.header.Get("Retry-After"))
		}
		close(release)
		for _, c := range clients {
			readReply(t, c).check(t, http.StatusOK, "", "completed")
		}
		later := dial()
		send(t, later, request("key", nonStreamingChat, len(nonStreamingChat)))
		readReply(t, later).check(t, http.StatusOK, "", "completed")
	})
}

// TestServerRecoversFromPanics lets more requests panic than may be in progress,
// to detect a slot that is not released.
func TestServerRecoversFromPanics(t *testing.T) {
	calls := 0
	h := &fakeHandler{generate: func(_ context.Context, sink caller.Sink) answer.Result {
		calls++
		if calls > 6 {
			return answer.Completed{}
		}
		if calls%2 == 0 {
			_ = sink.Deliver(contentEvent(1))
		}
		panic("test")
	}}
	var logged bytes.Buffer
	klog.SetSlogLogger(slog.New(slog.NewJSONHandler(&logged, nil)))
	t.Cleanup(klog.ClearLogger)
	serve(t, h, func(dial func() net.Conn) {
		for range 3 {
			client := dial()
			send(t, client, request("key", streamChat, len(streamChat)))
			readReply(t, client).check(t, http.StatusInternalServerError, "internal_error", "unknown")
			streaming := dial()
			send(t, streaming, request("key", streamChat, len(streamChat)))
			text, err := io.ReadAll(streaming)
			if err != nil || !strings.Contains(string(text), "data: a\n") || strings.Contains(string(text), "[DONE]") {
				t.Errorf("%v in %s", err, text)
			}
			if strings.HasSuffix(string(text), "\r\n0\r\n\r\n") {
				t.Error("the aborted response ends like a complete one")
			}
		}
		client := dial()
		send(t, client, request("key", nonStreamingChat, len(nonStreamingChat)))
		readReply(t, client).check(t, http.StatusOK, "", "completed")
	})
	if n := strings.Count(logged.String(), `"msg":"request panicked"`); n != 6 {
		t.Errorf("%d panics logged in %s", n, &logged)
	}
}
