package apportioner

import (
	"maps"
	"slices"
	"time"
)

// period returns the time between requests to the issuer.
func (a *Account) period() time.Duration {
	return max(minRequestPeriod, min(maxRequestPeriod, time.Duration(a.Gateways())*requestPeriodPerGateway))
}

// Poll returns a request to send to an issuer, and false if none is due. Issuers are the
// addresses of those that can be heard, the one to prefer first.
func (a *Account) Poll(now time.Duration, issuers []string) (Request, string, bool) {
	if !a.Polls() {
		return Request{}, "", false
	}
	a.choose(now, issuers)
	switch {
	case a.issuer == "":
		return Request{}, "", false
	case a.underWay:
		if now-a.sentAt < repeatPeriod {
			return Request{}, "", false
		}
		return a.repeat(now), a.issuer, true
	case !a.needed && now-a.askedAt < a.period():
		return Request{}, "", false
	}
	return a.compose(now), a.issuer, true
}

// repeat returns the request under way once more. It claims no longer than a new one would
// take, so that a claim ends soon after the issuer fell silent.
func (a *Account) repeat(now time.Duration) Request {
	a.sentAt = now
	if now-a.askedAt > maxPendingTime {
		a.request.Claim = false
	}
	if a.request.Claim {
		a.claimedAt = now
	}
	return a.request
}

// compose returns a new request.
func (a *Account) compose(now time.Duration) Request {
	a.number++
	a.askedAt, a.sentAt, a.underWay, a.needed = now, now, true, false
	request := Request{Epoch: a.cfg.Epoch, Number: a.number, Version: a.version, Gateways: a.told}
	leaving := a.better != "" && now-a.betterSince >= settleTime
	switch {
	case leaving:
		request.Release = true
	case a.counted || a.free(now):
		request.Claim = true
		a.claimedAt, a.released = now, false
	}
	if !a.heard {
		for _, m := range a.roster {
			m.Age += now - a.rosterAt
			request.Roster = append(request.Roster, m)
		}
	}
	for _, name := range a.order {
		b := a.balances[name]
		a.expire(now, b)
		if row, ok := b.row(now, a.period(), a.number); ok {
			request.Rows = append(request.Rows, row)
		}
	}
	a.request = request
	return request
}

// choose chooses the issuer. It leaves one that does not answer for the next, and one that
// does only for one that has preceded it for a while.
func (a *Account) choose(now time.Duration, issuers []string) {
	if a.underWay && now-a.askedAt >= answerTimeout {
		a.underWay = false
		maps.DeleteFunc(a.silentUntil, func(_ string, until time.Duration) bool { return now >= until })
		a.silentUntil[a.issuer] = now + silentTime
		a.follow("")
	}
	first := ""
	for _, address := range issuers {
		if now >= a.silentUntil[address] {
			first = address
			break
		}
	}
	if first == "" && len(issuers) > 0 {
		first = issuers[0]
	}
	switch {
	case a.issuer == "" || !slices.Contains(issuers, a.issuer) && !a.underWay && !a.hears(now):
		a.follow(first)
	case first == a.issuer || first == "":
		a.better = ""
	case first != a.better:
		a.better, a.betterSince = first, now
	}
}

// follow makes an issuer the one that is asked.
func (a *Account) follow(issuer string) {
	if issuer == a.issuer {
		return
	}
	a.issuer, a.better, a.heard, a.counted = issuer, "", false, false
	for _, b := range a.balances {
		b.announced, b.roomAt = 0, 0
	}
}
