// Package classifier holds the closed list of error kinds and the answer that
// each kind gives to a caller.
//
// Usage:
//
//	err := classifier.New(classifier.Busy, "queue of model %s is full", m)
//	answer := classifier.AnswerOf(classifier.KindOf(err))
package classifier

import (
	"errors"
	"sort"
	"time"

	"github.com/samber/oops"
	"google.golang.org/grpc/codes"
)

// Kind names one way in which a request or an operation fails.
type Kind string

// The closed list of error kinds.
const (
	None      Kind = ""
	Invalid   Kind = "invalid"
	Denied    Kind = "denied"
	Missing   Kind = "missing"
	Conflict  Kind = "conflict"
	Large     Kind = "large"
	Stalled   Kind = "stalled"
	Limited   Kind = "limited"
	Busy      Kind = "busy"
	Late      Kind = "late"
	Leaving   Kind = "leaving"
	Loading   Kind = "loading"
	Unclaimed Kind = "unclaimed"
	Claimed   Kind = "claimed"
	Expired   Kind = "expired"
	Cancelled Kind = "cancelled"
	Lost      Kind = "lost"
	Broken    Kind = "broken"
	Internal  Kind = "internal"
)

// Ran tells whether the upstream may have executed a request.
type Ran string

// The values of Ran, as they appear in the Egretwall-Ran header.
const (
	RanYes     Ran = "yes"
	RanNo      Ran = "no"
	RanUnknown Ran = "unknown"
)

// Response is what a caller sees for an error kind.
type Response struct {
	Status     int           // HTTP status
	Code       codes.Code    // gRPC code
	Ran        Ran           // whether the upstream may have run the request
	Retryable  bool          // whether the same request may succeed later
	RetryAfter time.Duration // zero when the caller gets no Retry-After header
	Message    string        // what the caller can do about it
}

var answers = map[Kind]Response{
	Invalid:   {400, codes.InvalidArgument, RanNo, false, 0, "the request is malformed, correct it"},
	Denied:    {401, codes.Unauthenticated, RanNo, false, 0, "send a configured key as bearer token"},
	Missing:   {404, codes.NotFound, RanNo, false, 0, "the model or service is not configured, see /v1/models"},
	Conflict:  {409, codes.AlreadyExists, RanNo, false, 0, "the idempotency key was used with another body, use a new key"},
	Large:     {413, codes.OutOfRange, RanNo, false, 0, "the body is too large"},
	Stalled:   {408, codes.DeadlineExceeded, RanNo, true, time.Second, "the request was not read whole in time, send it again"},
	Limited:   {429, codes.ResourceExhausted, RanNo, true, time.Second, "the caller has too many open requests, wait for one to finish"},
	Busy:      {503, codes.ResourceExhausted, RanNo, true, 2 * time.Second, "no upstream has room, retry later"},
	Late:      {503, codes.DeadlineExceeded, RanNo, true, 2 * time.Second, "the target can't be met, retry later"},
	Leaving:   {503, codes.Unavailable, RanNo, true, time.Second, "the process is stopping, retry elsewhere"},
	Loading:   {503, codes.Unavailable, RanNo, true, 5 * time.Second, "the model is being loaded, retry later"},
	Unclaimed: {503, codes.Unavailable, RanNo, true, 5 * time.Second, "the log can't record the idempotency key, retry later with the same key"},
	Claimed:   {409, codes.Aborted, RanUnknown, false, 0, "a request with this key ran before and its answer is gone, check its outcome"},
	Expired:   {504, codes.DeadlineExceeded, RanUnknown, false, 0, "the deadline passed while the request may have been running"},
	Cancelled: {499, codes.Canceled, RanUnknown, false, 0, "the caller closed the request"},
	Lost:      {502, codes.Unknown, RanUnknown, false, 0, "the upstream was lost while the request may have been running, check its outcome"},
	Broken:    {502, codes.DataLoss, RanUnknown, false, 0, "the answer can't be completed, check the outcome or retry if it is safe"},
	Internal:  {500, codes.Internal, RanUnknown, false, 0, "the process failed, report the id of this answer"},
}

// ResponseOf returns the answer of a kind, and the answer of Internal for a
// kind outside the list.
func ResponseOf(k Kind) Response {
	a, ok := answers[k]
	if !ok {
		return answers[Internal]
	}
	return a
}

// Kinds lists all error kinds in alphabetical order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(answers))
	for k := range answers {
		kinds = append(kinds, k)
	}
	sort.Slice(kinds, func(i, j int) bool { return kinds[i] < kinds[j] })
	return kinds
}

// New returns an error of kind k.
func New(k Kind, format string, args ...any) error {
	return oops.Code(string(k)).Errorf(format, args...)
}

// Wrap returns an error of kind k around err.
func Wrap(k Kind, err error, format string, args ...any) error {
	return oops.Code(string(k)).Wrapf(err, format, args...)
}

// KindOf returns the kind of err, and Internal when it carries none.
func KindOf(err error) Kind {
	var e oops.OopsError
	if !errors.As(err, &e) {
		return Internal
	}
	code, ok := e.Code().(string)
	if !ok {
		return Internal
	}
	if _, known := answers[Kind(code)]; !known {
		return Internal
	}
	return Kind(code)
}
