// Package intake bounds what callers use of a process: the memory of their connections and
// requests, the number of their connections, and the time that they take to send a request
// and to read an answer.
package intake

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"samphirehead/coordination/memory"
	"samphirehead/state/id"
)

const (
	// connectionBytes is the memory of a connection without a request: its buffers and
	// the stack of its goroutine.
	connectionBytes = 24 << 10
	// yieldTimeout bounds the wait of a request for connections that give way, and
	// maxOpenTimeout that of a new connection.
	yieldTimeout   = 50 * time.Millisecond
	maxOpenTimeout = 250 * time.Millisecond
	// fullInterval is for how long new connections don't wait after one did in vain.
	fullInterval = time.Second
	// maxWaiting bounds the requests that wait at a time, as each release wakes all.
	maxWaiting = 64
	// logInterval is the least time between two log lines on connections that were closed.
	logInterval = time.Second
)

// UnreadFactor is how many times the size of Intake.ReceiveBuffer the buffer takes.
const UnreadFactor = 2

// Reason is why a connection was closed, as logged and counted in metrics.
type Reason string

// The reasons.
const (
	// TooMany connections were open, or memory for a further one was lacking.
	TooMany Reason = "refused"
	// GaveWay to others, idle or with a request that had not arrived whole.
	GaveWay Reason = "gave_way"
	// HeadTooLarge for the memory that is left.
	HeadTooLarge Reason = "head_refused"
	// SlowReader took too long to read an answer.
	SlowReader Reason = "slow_reader"
)

// ErrRefused means that there is no memory for a request.
var ErrRefused = errors.New("no memory left for the request")

// Intake is the account of one listener, with the connections that draw on it. Its exported
// fields are set before the first use. It is safe for concurrent use.
type Intake struct {
	Account memory.Account
	// ReadTimeout bounds how long a caller takes to read each part of an answer; 0 sets
	// no bound.
	ReadTimeout time.Duration
	// StreamReadTimeout is the same for a stream, whose upstream waits meanwhile.
	StreamReadTimeout time.Duration
	// ReceiveBuffer is the size that is asked for of the kernel's buffer for the bytes of a
	// connection that were not read, which takes UnreadFactor times as much; 0 leaves it to
	// the kernel.
	ReceiveBuffer int
	// Count counts a connection that was closed.
	Count func(Reason)

	mu          sync.Mutex
	connections map[memory.Holder]*Conn
	last        memory.Holder
	// waiting counts the requests that wait.
	waiting int
	// fullAt is when a new connection last waited in vain; zero if a later one found room.
	fullAt time.Time
	// changed is closed and replaced when a connection releases something or
	// changes its state.
	changed chan struct{}
	closed  map[Reason]int
	logged  time.Time
}

// Usage is what callers use now.
type Usage struct {
	Bytes, PeakBytes int64
	Connections      int
}

// Usage returns what callers use now.
func (i *Intake) Usage() Usage {
	i.mu.Lock()
	defer i.mu.Unlock()
	held, peak := i.Account.Held()
	return Usage{Bytes: held, PeakBytes: peak, Connections: i.Account.Count()}
}

// Attach makes a server report the states of its connections. The server must serve a
// listener of Listen.
func (i *Intake) Attach(server *http.Server) {
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	server.ConnState = func(c net.Conn, state http.ConnState) {
		conn, ok := c.(*Conn)
		if !ok {
			return
		}
		switch state {
		case http.StateActive:
			conn.change(memory.Receiving)
		case http.StateIdle:
			conn.finish()
		case http.StateNew, http.StateHijacked, http.StateClosed:
		}
	}
}

type connKey struct{}

// Of returns the connection of a request; nil if it has none of this package. The methods
// of Conn accept nil.
func Of(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// draw asks for n bytes for a connection, and waits a little for others that give way.
func (i *Intake) draw(c *Conn, n int64) bool {
	return i.ask(yieldTimeout, func(now time.Time) (memory.Verdict, []memory.Victim) {
		return i.Account.Draw(now, c.holder, n)
	})
}

// ask repeats a request until it is granted or refused; it is refused after limit.
func (i *Intake) ask(limit time.Duration, request func(time.Time) (memory.Verdict, []memory.Victim)) bool {
	verdict, changed := i.askOnce(request)
	if verdict != memory.Waiting {
		return verdict == memory.Granted
	}
	if !i.enterWait() {
		return false
	}
	defer i.leaveWait()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for late := false; verdict == memory.Waiting && !late; {
		select {
		case <-changed:
		case <-timer.C:
			late = true
		}
		verdict, changed = i.askOnce(request)
	}
	return verdict == memory.Granted
}

// askOnce makes a request and makes its victims give way. If the request is to wait, changed
// is closed at the next change.
func (i *Intake) askOnce(request func(time.Time) (memory.Verdict, []memory.Victim)) (verdict memory.Verdict, changed <-chan struct{}) {
	i.mu.Lock()
	verdict, victims := request(time.Now())
	yields := i.yields(victims)
	if verdict == memory.Waiting && i.changed == nil {
		i.changed = make(chan struct{})
	}
	changed = i.changed
	i.mu.Unlock()
	for _, yield := range yields {
		yield()
	}
	return verdict, changed
}

func (i *Intake) enterWait() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.waiting >= maxWaiting {
		return false
	}
	i.waiting++
	return true
}

func (i *Intake) leaveWait() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.waiting--
}

// yields returns what makes victims give way. It is to be called without i.mu, which must be
// held for yields.
func (i *Intake) yields(victims []memory.Victim) []func() {
	var yields []func()
	for _, victim := range victims {
		c := i.connections[victim.Holder]
		if victim.KeepOnly {
			yields = append(yields, c.dropRetained)
			continue
		}
		i.count(GaveWay, c.RemoteAddr())
		yields = append(yields, c.end)
	}
	return yields
}

// signal wakes those that wait for bytes or connections. i.mu must be held.
func (i *Intake) signal() {
	if i.changed != nil {
		close(i.changed)
		i.changed = nil
	}
}

func (i *Intake) release(c *Conn, n int64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.Account.Release(c.holder, n)
	i.signal()
}

func (i *Intake) remove(c *Conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.Account.Close(c.holder)
	delete(i.connections, c.holder)
	i.signal()
}

func (i *Intake) identify(c *Conn, workspace id.Workspace, urgency int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.Account.Identify(c.holder, workspace, urgency)
}

// countClosed counts a connection that was closed.
func (i *Intake) countClosed(why Reason, from net.Addr) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.count(why, from)
}

// count counts a connection that was closed, and logs it, but not more often than each
// logInterval. i.mu must be held.
func (i *Intake) count(why Reason, from net.Addr) {
	if i.Count != nil {
		i.Count(why)
	}
	if i.closed == nil {
		i.closed = make(map[Reason]int)
	}
	i.closed[why]++
	now := time.Now()
	if now.Sub(i.logged) < logInterval {
		return
	}
	held, _ := i.Account.Held()
	klog.InfoS("connections closed", "reason", why, "caller", from.String(), "held", held,
		"refused", i.closed[TooMany], "gave_way", i.closed[GaveWay], "head_refused", i.closed[HeadTooLarge],
		"slow_reader", i.closed[SlowReader])
	i.logged = now
	clear(i.closed)
}
