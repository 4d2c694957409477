package claim

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"samphirehead/state/id"
	"samphirehead/state/record"
)

// Prefix is the prefix of the keys of all claims.
const Prefix record.Key = "claims/"

// MaxIdempotencyKeyBytes bounds the idempotency keys that callers choose.
const MaxIdempotencyKeyBytes = 255

// maxRecordedBodyBytes bounds the body of an answer that is recorded for a
// replay. A larger body is omitted.
const maxRecordedBodyBytes = 64 << 10

// NewKey returns the key of the claim for an idempotency key. An idempotency key
// is scoped to the workspace, the service, the method and the complete path of
// the call.
func NewKey(w id.Workspace, s id.Service, method, path, idempotencyKey string) record.Key {
	return Prefix + record.NewKey(string(w), string(s), method, path, idempotencyKey)
}

// State is the state of a claim.
type State string

// The states of a claim. It starts as Claimed. From Sent it returns to Claimed,
// through Void, only if its holder knows that nothing was sent.
const (
	// Claimed calls were not sent. Another attempt may take over the claim.
	Claimed State = "claimed"
	// Sent calls may have been sent by the attempt in the row, but by no
	// other attempt.
	Sent State = "sent"
	// AnswerLost calls may have run, but no complete answer was received.
	AnswerLost State = "unknown"
	// Done calls ran; the row contains their answer.
	Done State = "done"
	// Void calls were given up by their holder before anything was sent.
	Void State = "void"
)

// Row is the value of a claim in the table.
type Row struct {
	State State `json:"state"`
	// Attempt is the last attempt that claimed the key.
	Attempt  id.Attempt  `json:"attempt"`
	Instance id.Instance `json:"instance"`
	// Digest is Call.Digest, and the same for all attempts with a key.
	Digest string `json:"digest"`
	// ChangedUnixMS is the holder's wall clock at the last change, in Unix
	// milliseconds. Retention is measured from it.
	ChangedUnixMS int64 `json:"changed_unix_ms"`
	// AnswerByUnixMS is when the holder's caller stops waiting, by the
	// holder's wall clock in Unix milliseconds.
	AnswerByUnixMS int64 `json:"answer_by_unix_ms"`
	// Answer is set only in state Done.
	Answer *RowAnswer `json:"answer,omitempty"`
}

// RowAnswer is a recorded Answer.
type RowAnswer struct {
	Status      int         `json:"status"`
	Header      http.Header `json:"header,omitempty"`
	Body        []byte      `json:"body,omitempty"`
	BodyOmitted bool        `json:"body_omitted,omitempty"`
}

// DecodeRow decodes the value of a claim. It fails if that is not valid JSON.
func DecodeRow(r record.Row) (Row, error) {
	var row Row
	if err := json.Unmarshal(r.Value, &row); err != nil {
		return Row{}, errors.Wrapf(err, "decode claim %s", r.Key)
	}
	return row, nil
}

// Encode returns the row's value for the table.
func (r Row) Encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(errors.Wrap(err, "encode claim")) // all fields can be encoded
	}
	return value
}

// Changed returns the time of the last change, by the holder's wall clock.
func (r Row) Changed() time.Time { return time.UnixMilli(r.ChangedUnixMS) }

func newRowAnswer(a Answer) *RowAnswer {
	out := RowAnswer(a)
	if len(a.Body) > maxRecordedBodyBytes {
		out.Body = nil
		out.BodyOmitted = true
	}
	return &out
}

func (r Row) replay() Outcome {
	if r.Answer == nil {
		return Unknown{RetryAfter: defaultRetryAfter}
	}
	return Completed{Answer: Answer(*r.Answer), Replayed: true}
}

// LookupResult is the result of looking up the outcome of an earlier call:
// NoRecord, Pending or Known.
type LookupResult interface{ lookupResult() }

// NoRecord means that there is no claim: none was made, or it has expired.
type NoRecord struct{}

// Pending means that the call is claimed and has no outcome yet.
type Pending struct{ RetryAfter time.Duration }

// Known means that the call has an outcome.
type Known struct{ Outcome Outcome }

func (NoRecord) lookupResult() {}
func (Pending) lookupResult()  {}
func (Known) lookupResult()    {}

// Lookup returns the outcome of an earlier call as of now. rows is the result of
// reading the claim's key. It fails if the row can't be decoded.
func Lookup(now time.Time, rows []record.Row) (LookupResult, error) {
	if len(rows) == 0 || rows[0].Version == 0 {
		return NoRecord{}, nil
	}
	row, err := DecodeRow(rows[0])
	if err != nil {
		return nil, err
	}
	switch row.State {
	case Done:
		return Known{row.replay()}, nil
	case Void:
		return Known{NewUnsent().NotRun(UpstreamUnavailable, 0, nil)}, nil
	case Claimed:
		return Pending{RetryAfter: defaultRetryAfter}, nil
	case Sent:
		if now.Before(time.UnixMilli(row.AnswerByUnixMS)) {
			return Pending{RetryAfter: defaultRetryAfter}, nil
		}
	}
	return Known{Unknown{RetryAfter: defaultRetryAfter}}, nil
}
