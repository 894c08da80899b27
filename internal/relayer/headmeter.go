package relayer

// Memory that headers take beyond what is counted for each connection and request.
const (
	freeHeadBytes = 4 << 10 // of headers, covered by the size of a connection or a request
	freeHeadLines = 32      // the same
	headByteCost  = 2       // bytes held of a byte beyond
	headLineCost  = 384     // bytes held of a line beyond, in the maps of a request and its copies
)

// headMeter follows the headers of a request as they are read.
type headMeter struct {
	bytes, lines int
	line, length int // number of the present line of the request, and bytes in it
	done         bool
}

// observe reads on in the bytes of a request, up to the end of its headers.
func (m *headMeter) observe(p []byte) {
	for _, b := range p {
		if m.done {
			return
		}
		m.bytes++
		switch b {
		case '\n':
			m.lines++
			m.endLine()
		case '\r':
		default:
			m.length++
		}
	}
}

// endLine ends the present line. An empty one ends the headers.
func (m *headMeter) endLine() {
	empty := m.length == 0
	m.length = 0
	switch {
	case !empty:
		m.line++
	case m.line > 0:
		m.done = true
	}
}

// cost returns the bytes of memory to count for the headers.
func (m *headMeter) cost() int {
	return headCost(m.bytes, m.lines)
}

// headCost returns the bytes of memory to count for headers of a size.
func headCost(bytes, lines int) int {
	return headByteCost*max(0, bytes-freeHeadBytes) + headLineCost*max(0, lines-freeHeadLines)
}
