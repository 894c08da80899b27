package messenger

import (
	"slices"

	"github.com/egretwall/egretwall/internal/isolator"
)

// splitBytes is the size from which on a message is split. As JSON it may take twice as many
// bytes, which must fit into a datagram too.
const splitBytes = 30 << 10

// split divides a message in two, and reports false if nothing in it can be divided: a crash
// into its requests, then their parts; the lists from the rest, then the longest list.
func (m Message) split() (first, second Message, ok bool) {
	if m.Crash != nil {
		return m.splitCrash()
	}
	lists := Message{Sender: m.Sender, Version: m.Version, Limits: m.Limits, Verdicts: m.Verdicts, Suspects: m.Suspects, Answered: m.Answered}
	rest := m
	rest.Limits, rest.Verdicts, rest.Suspects, rest.Answered = nil, nil, nil, nil
	longest := max(len(m.Limits), len(m.Verdicts), len(m.Suspects), len(m.Answered))
	switch {
	case longest == 0:
		return m, Message{}, false
	case rest.Report != nil:
		return rest, lists, true
	case longest == 1:
		return m, Message{}, false
	}
	first, second = lists, Message{Sender: m.Sender, Version: m.Version}
	switch longest {
	case len(m.Limits):
		first.Limits, second.Limits = halves(m.Limits)
	case len(m.Verdicts):
		first.Verdicts, second.Verdicts = halves(m.Verdicts)
	case len(m.Suspects):
		first.Suspects, second.Suspects = halves(m.Suspects)
	default:
		first.Answered, second.Answered = halves(m.Answered)
	}
	return first, second, true
}

// splitCrash divides the requests of a crash or, of a single one, its parts. The other traits
// go with both halves of these, since they tell whose parts they are.
func (m Message) splitCrash() (first, second Message, ok bool) {
	a, b := *m.Crash, *m.Crash
	if len(m.Crash.Requests) > 1 {
		a.Requests, b.Requests = halves(m.Crash.Requests)
	} else {
		var parts, others []isolator.Trait
		for _, t := range slices.Concat(m.Crash.Requests...) {
			if t.Kind() == isolator.PartTrait {
				parts = append(parts, t)
			} else {
				others = append(others, t)
			}
		}
		if len(parts) < 2 {
			return m, Message{}, false
		}
		some, more := halves(parts)
		a.Requests = [][]isolator.Trait{slices.Concat(others, some)}
		b.Requests = [][]isolator.Trait{slices.Concat(others, more)}
	}
	first, second = m, m
	first.Crash, second.Crash = &a, &b
	return first, second, true
}

func halves[T any](all []T) (first, second []T) {
	middle := len(all) / 2
	return all[:middle], all[middle:]
}
