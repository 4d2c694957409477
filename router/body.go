package router

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"samphirehead/state/routing"
	"samphirehead/transport/intake"
)

// readBody reads the body of a request, as far as there is memory for it.
func (j *job) readBody(request *http.Request, limits routing.Limits) reason {
	limit := int64(defaultMaxBodyBytes)
	if limits.MaxBodyBytes > 0 {
		limit = limits.MaxBodyBytes
	}
	callerLimits := j.router.Settings.CallerLimits
	j.conn.Begin(j.workspaceName(), j.urgency)
	body, drawn, err := intake.ReadBody(j.conn, http.MaxBytesReader(j.w, request.Body, limit), intake.BodyLimits{
		Declared: request.ContentLength, Bytes: limit,
		Deadline: j.deadline, Grace: callerLimits.BodyGrace, BytesPerSecond: callerLimits.MinBodyRate,
	})
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return bodyTooLarge
	case errors.Is(err, intake.ErrRefused):
		return memoryFull
	case errors.Is(err, intake.ErrTooSlow):
		return bodyTooSlow
	case err != nil:
		return bodyBroken
	}
	if !j.conn.Arrived() {
		return memoryFull
	}
	j.Body, j.bodyMemory = body, drawn
	return ""
}

// retainOnceWritten returns what is to be called once an upstream has the request; nil if
// the body is to be kept. A request that may run once at most is hardly sent again: only if
// the upstream rejects it.
func (j *job) retainOnceWritten() func() {
	if j.bodyMemory == 0 || j.route.Semantics != routing.AtMostOnce {
		return nil
	}
	epoch, memory := j.conn.Keep(), j.bodyMemory
	return func() {
		j.conn.Retain(epoch, memory, func() { j.Body, j.bodyDropped = nil, true })
	}
}

// keepBody reports whether the body is there to be sent again, and keeps it.
func (j *job) keepBody() bool {
	j.conn.Keep()
	return !j.bodyDropped
}

// releaseBody drops the body of a request that is not sent again.
func (j *job) releaseBody() {
	if j.bodyMemory == 0 {
		return
	}
	if j.keepBody() {
		j.Body, j.bodyDropped = nil, true
		j.conn.Release(j.bodyMemory)
	}
}
