package dispatcher

import (
	"time"

	"github.com/egretwall/egretwall/internal/budgeter"
	"github.com/egretwall/egretwall/internal/registrar"
)

// request is a request without a final answer.
type request struct {
	Request
	arrivedAt     time.Duration
	stats         *modelStats // of its model
	upstream      *upstream   // of the send under way, nil while the request waits
	try           Try         // of the last send, zero before the first
	runs          int         // sends in which the request may have run
	refusals      int         // sends that an upstream received and did not run
	unsent        int         // sends that did not reach their upstream
	queuePosition int         // among the waiting requests of its model when it was queued, from 1
	// sendsAtEnqueue is the number of sends for its model when it was queued.
	sendsAtEnqueue int
	retryPaid      bool                 // the retry budget has been charged for the next send
	answerBegan    bool                 // a part of an answer has reached the caller
	sendBegan      bool                 // a part of the last send's answer has reached the caller
	beganAt        time.Duration        // when that was
	failureKept    bool                 // the relayer keeps an upstream's 5xx answer for RelayFailure
	mayHaveRun     bool                 // an earlier send may have run
	avoidUpstream  registrar.UpstreamID // of the last send that failed, was refused or stalled
	sentAt         time.Duration        // time of the last send
	heldWhenSent   budgeter.Bytes       // by the upstream, of this gateway's requests, with this one; zero once recordCarried has seen it
	release        registrar.Release    // the only one that may run it, empty for any
	search         originSearch         // for release
	permitted      bool                 // the last send used a permit of an upstream with a limit
	lastCause      string               // error text of the last send
	quotaPending   bool                 // it waits for tokens of its workspace's quota
	quotaPassed    bool                 // its workspace's quota had room for it
	quotaPassedAt  time.Duration        // when it had
	share          shareState
}
