// Package classifier holds the closed list of error kinds and the response that a
// caller gets for each of them.
//
// Usage:
//
//	err := classifier.New(classifier.Busy, "queue of model %s is full", m)
//	response := classifier.ResponseOf(classifier.KindOf(err))
package classifier

import (
	"errors"
	"sort"
	"time"

	"github.com/samber/oops"
	"google.golang.org/grpc/codes"
)

// Kind is the kind of a failure of a request or an operation.
type Kind string

// The closed list of error kinds.
const (
	None      Kind = ""          // no error
	Invalid   Kind = "invalid"   // malformed request, record or setting
	Denied    Kind = "denied"    // missing or unknown credentials
	Missing   Kind = "missing"   // the model or service is not configured
	Conflict  Kind = "conflict"  // the idempotency key was used with another request
	Large     Kind = "large"     // the request body exceeds its limit
	Stalled   Kind = "stalled"   // the caller did not send the whole request in time
	Limited   Kind = "limited"   // the caller exceeds its limit of open requests, or its workspace its quota
	Busy      Kind = "busy"      // no upstream has a free slot or queue place
	Late      Kind = "late"      // the latency target cannot be met
	Leaving   Kind = "leaving"   // the process is shutting down
	Loading   Kind = "loading"   // the model is being loaded
	Orphaned  Kind = "orphaned"  // it is not known which release began the stream that the request resumes
	Isolated  Kind = "isolated"  // the request, or a part of its prompt, has crashed upstreams
	Stale     Kind = "stale"     // the process may not know the newest routes, keys and limits
	Unclaimed Kind = "unclaimed" // the log did not record the claim on the idempotency key
	Claimed   Kind = "claimed"   // the idempotency key is claimed and its answer not available
	Expired   Kind = "expired"   // the deadline passed after the request was sent to an upstream
	Cancelled Kind = "cancelled" // the caller closed the request
	Lost      Kind = "lost"      // an upstream or other process was lost and may have executed the request
	Broken    Kind = "broken"    // an answer that had begun cannot be completed
	Internal  Kind = "internal"  // fault of the process itself, and any error without a kind
)

// Ran reports whether an upstream may have executed a request.
type Ran string

// The values of Ran, as they appear in the Egretwall-Ran header.
const (
	RanYes     Ran = "yes"
	RanNo      Ran = "no"
	RanUnknown Ran = "unknown"
)

// Response is the response that a caller gets for an error kind.
type Response struct {
	Status     int           // HTTP status
	Code       codes.Code    // gRPC code
	Ran        Ran           // whether an upstream may have executed the request
	Retryable  bool          // whether the same request may succeed when it is repeated
	RetryAfter time.Duration // value of the Retry-After header, zero without one
	Message    string        // what happened and what the caller can do about it
}

var responses = map[Kind]Response{
	Invalid:   {400, codes.InvalidArgument, RanNo, false, 0, "the request is malformed, correct it"},
	Denied:    {401, codes.Unauthenticated, RanNo, false, 0, "send a configured key as bearer token"},
	Missing:   {404, codes.NotFound, RanNo, false, 0, "the model or service is not configured, see /v1/models"},
	Conflict:  {409, codes.AlreadyExists, RanNo, false, 0, "the idempotency key was used with another body, use a new key"},
	Large:     {413, codes.OutOfRange, RanNo, false, 0, "the body is too large"},
	Stalled:   {408, codes.DeadlineExceeded, RanNo, true, time.Second, "the request was not read whole in time, send it again"},
	Limited:   {429, codes.ResourceExhausted, RanNo, true, time.Second, "the caller is over its limit, retry later"},
	Busy:      {503, codes.ResourceExhausted, RanNo, true, 2 * time.Second, "no upstream has room, retry later"},
	Late:      {503, codes.DeadlineExceeded, RanNo, true, 2 * time.Second, "the target can't be met, retry later"},
	Leaving:   {503, codes.Unavailable, RanNo, true, time.Second, "the process is stopping, retry elsewhere"},
	Loading:   {503, codes.Unavailable, RanNo, true, 5 * time.Second, "the model is being loaded, retry later"},
	Orphaned:  {503, codes.FailedPrecondition, RanNo, true, time.Second, "it is not known where the stream began, begin it anew"},
	Isolated:  {503, codes.FailedPrecondition, RanNo, true, time.Minute, "requests like it have crashed upstreams"},
	Stale:     {503, codes.Unavailable, RanNo, true, time.Second, "the process may not know the newest configuration, retry elsewhere"},
	Unclaimed: {503, codes.Unavailable, RanNo, true, 5 * time.Second, "the log can't record the idempotency key, retry later with the same key"},
	Claimed:   {409, codes.Aborted, RanUnknown, false, 0, "a request with this key ran before and its answer is gone, check its outcome"},
	Expired:   {504, codes.DeadlineExceeded, RanUnknown, false, 0, "the deadline passed while the request may have been running"},
	Cancelled: {499, codes.Canceled, RanUnknown, false, 0, "the caller closed the request"},
	Lost:      {502, codes.Unknown, RanUnknown, false, 0, "the upstream was lost while the request may have been running, check its outcome"},
	Broken:    {502, codes.DataLoss, RanUnknown, false, 0, "the answer can't be completed, check the outcome or retry if it is safe"},
	Internal:  {500, codes.Internal, RanUnknown, false, 0, "the process failed, report the id of this answer"},
}

// ResponseOf returns the response for a kind, and that for Internal if the kind is
// not in the list.
func ResponseOf(k Kind) Response {
	r, ok := responses[k]
	if !ok {
		return responses[Internal]
	}
	return r
}

// Kinds lists all error kinds but None in alphabetical order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(responses))
	for k := range responses {
		kinds = append(kinds, k)
	}
	sort.Slice(kinds, func(i, j int) bool { return kinds[i] < kinds[j] })
	return kinds
}

// New returns an error of kind k with a formatted message.
func New(k Kind, format string, args ...any) error {
	return oops.Code(string(k)).Errorf(format, args...)
}

// Wrap returns an error of kind k that wraps err with a formatted message.
func Wrap(k Kind, err error, format string, args ...any) error {
	return oops.Code(string(k)).Wrapf(err, format, args...)
}

// KindOf returns the kind of err, and Internal if it has none that is in the list.
func KindOf(err error) Kind {
	var e oops.OopsError
	if !errors.As(err, &e) {
		return Internal
	}
	code, ok := e.Code().(string)
	if !ok {
		return Internal
	}
	if _, known := responses[Kind(code)]; !known {
		return Internal
	}
	return Kind(code)
}
