package claim

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"samphirehead/state/id"
	"samphirehead/state/record"
)

// Prefix starts the key of every claim.
const Prefix record.Key = "claims/"

// MaxIdempotencyKeyBytes bounds the keys that callers choose.
const MaxIdempotencyKeyBytes = 255

// maxRecordedBody bounds the answers that are kept for a replay.
const maxRecordedBodyBytes = 64 << 10

// NewKey returns the key of the claim on an idempotency key. The route is the
// method and the whole path of the call.
func NewKey(w id.Workspace, s id.Service, method, path, idempotencyKey string) record.Key {
	return Prefix + record.NewKey(string(w), string(s), method, path, idempotencyKey)
}

// State says how far a claimed call has got.
type State string

// The states of a claim. A claim starts as Claimed; from Sent it never goes
// back to Claimed unless its holder knows that nothing was sent.
const (
	// Claimed calls were not sent. Another attempt may take them over.
	Claimed State = "claimed"
	// Sent calls may have been sent by the attempt in the row, and by no
	// other.
	Sent State = "sent"
	// Lost calls were sent and their answer was lost.
	AnswerLost State = "unknown"
	// Done calls ran; the row holds their answer.
	Done State = "done"
	// Void calls were given up by their holder before anything was sent.
	Void State = "void"
)

// Row is the value of a claim in the table.
type Row struct {
	State State `json:"state"`
	// Attempt is the last one that claimed the key.
	Attempt  id.Attempt  `json:"attempt"`
	Instance id.Instance `json:"instance"`
	// Digest is of the body, and the same for all attempts of a key.
	Digest string `json:"digest"`
	// ChangedUnixMS is the holder's wall clock at the last change; expiry
	// counts from it.
	ChangedUnixMS int64 `json:"changed_unix_ms"`
	// AnswerByUnixMS is when the holder's caller stops waiting.
	AnswerByUnixMS int64 `json:"answer_by_unix_ms"`
	// Answer is set in state Done only.
	Answer *RowAnswer `json:"answer,omitempty"`
}

// RowAnswer is a recorded answer.
type RowAnswer struct {
	Status      int         `json:"status"`
	Header      http.Header `json:"header,omitempty"`
	Body        []byte      `json:"body,omitempty"`
	BodyOmitted bool        `json:"body_omitted,omitempty"`
}

// DecodeRow decodes the value of a claim.
func DecodeRow(r record.Row) (Row, error) {
	var row Row
	if err := json.Unmarshal(r.Value, &row); err != nil {
		return Row{}, errors.Wrapf(err, "decode claim %s", r.Key)
	}
	return row, nil
}

// Encode returns the value of the row in the table.
func (r Row) Encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(errors.Wrap(err, "encode claim")) // all fields can be encoded
	}
	return value
}

// Changed returns the time of the last change by its holder's wall clock.
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

// Finding is what a claim says to a caller that asks for an outcome: NoRecord,
// Pending, or Known.
type LookupResult interface{ lookupResult() }

// NoRecord says that no claim is held. The key was never sent, or it has
// expired.
type NoRecord struct{}

// Pending says that the call is claimed and has no outcome yet.
type Pending struct{ RetryAfter time.Duration }

// Known says that the call has an outcome.
type Known struct{ Outcome Outcome }

func (NoRecord) lookupResult() {}
func (Pending) lookupResult()  {}
func (Known) lookupResult()    {}

// Find tells the outcome that the table holds at now; rows are what a read of
// the claim's key gave.
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
