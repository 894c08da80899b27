package relayer

import (
	"sync"
	"time"

	"github.com/egretwall/egretwall/internal/budgeter"
)

// account is a budgeter.Account for concurrent use.
type account struct {
	mu         sync.Mutex
	account    *budgeter.Account
	intakes    map[budgeter.Purpose]senders
	searches   map[budgeter.Purpose]search
	ending     map[budgeter.Purpose]int // bytes of intakes that have been ended and not given back yet
	shortUntil time.Time                // requests lack room, or did lately
}

func newAccount(cfg budgeter.Config) *account {
	return &account{
		account: budgeter.New(cfg), searches: map[budgeter.Purpose]search{}, ending: map[budgeter.Purpose]int{},
		intakes: map[budgeter.Purpose]senders{budgeter.Incoming: {}, budgeter.Request: {}, budgeter.Control: {}},
	}
}

func (a *account) connected(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.account.Connected(n)
}

func (a *account) upstreamConnected(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.account.UpstreamConnected(n)
}

func (a *account) crowded() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.account.Crowded()
}

// admit reserves the bytes of a new request and reports whether there is room. The
// priority is asked for only while room is short. The body of a larger request that is still
// being read is given up for it.
func (a *account) admit(size int, priority func() int) bool {
	if admitted, pressed := a.admitUnpressed(size); !pressed {
		return admitted
	}
	p := priority()
	for waited := time.Duration(0); waited < admitPatience; waited += answerPollPeriod {
		fillers, wait := a.makeRoom(size, p)
		abortAll(fillers)
		if !wait {
			break
		}
		time.Sleep(answerPollPeriod)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.account.Admit(budgeter.Bytes(size), p)
}

// admitUnpressed is admit while room is not short, and reports whether it is.
func (a *account) admitUnpressed(size int) (admitted, pressed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.account.Pressed(budgeter.Bytes(size)) {
		return false, true
	}
	return a.account.Admit(budgeter.Bytes(size), 0), false
}

// makeRoom returns the intakes to end for a new request that does not fit, and reports whether
// the request is to wait since bytes are about to be given back. Incomplete answers of upstreams, of
// the store and of other processes are ended only if they fill a part of the memory.
func (a *account) makeRoom(size, priority int) (fillers []*intake, wait bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.account.Fits(budgeter.Bytes(size), priority) {
		return nil, false
	}
	fillers, wait = a.endFillers(budgeter.Request, fillerSize{message: fillerFactor * size})
	for p, fills := range map[budgeter.Purpose]func(ending budgeter.Bytes) bool{
		budgeter.Incoming: a.account.IncomingFills, budgeter.Control: a.account.ControlFills,
	} {
		if fills(budgeter.Bytes(a.ending[p])) {
			a.shortUntil = time.Now().Add(shortTime)
			ended, more := a.endFillers(p, fillerSize{message: smallIntake + 1})
			fillers, wait = append(fillers, ended...), wait || more
		}
	}
	return fillers, wait || a.ending[budgeter.Request]+a.ending[budgeter.Incoming]+a.ending[budgeter.Control] > 0
}

func (a *account) take(p budgeter.Purpose, size int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.account.Take(p, budgeter.Bytes(size))
}

func (a *account) release(p budgeter.Purpose, size int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.account.Release(p, budgeter.Bytes(size))
}

func (a *account) perCaller() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return int(a.account.PerCaller())
}

func (a *account) holdings() budgeter.Holdings {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.account.Holdings()
}
